// Package idemp makes calls with an idempotency key run at most once. Keys hash to ranges; a range has a holder, which
// runs the calls, and a backup, which must know of a start before the holder may run it.
//
// # Protocol
//
// The log assigns each range a holder and a backup; the offset of the record is the epoch. A record is accepted only on
// the current epoch, so assignments form one chain. In each epoch the holder first sends its table to the backup in
// chunks, then numbered changes. The backup applies changes in order, acknowledges the last one applied, and refuses
// every epoch but the one that it knows. A key is started in four steps: the holder enters it as started, the backup
// acknowledges the change, the holder emits Run once, and the outcome follows as a further change.
//
// # Why a key runs at most once
//
//   - A Run needs an acknowledgement of the backup in the same epoch. The next holder of a chain without a blind reset
//     is either the same daemon or that backup, and both have the key in their tables.
//   - A holder that was replaced gets no acknowledgement, because its backup has become holder, or has been given
//     another epoch by a holder that no longer starts keys in the old one.
//   - A backup whose table is not complete never takes over with it. It asks for a blind reset instead.
//   - After a blind reset, keys of callers may have run before. They are refused until every earlier key has expired.
//     A minted key carries the epoch in which it was made and is refused by holders of earlier epochs, so the holders
//     since the reset are the only ones that can have run it.
//   - A started key is released only by the daemon that would have run it: it was not sent, or the service said that it
//     was not run. The attempt's number keeps a late release from touching a later attempt of the same key.
//
// # What "not run" means
//
// An answer of the class not run is about the Begin that it answers. Either the Begin made no entry, or its entry was
// taken back before a Run was emitted, or the service proved it. An earlier Begin with the same key may have run.
//
// # Limits
//
// Keys are forgotten after the key lifetime. A pair of holder and backup that both miss a blind reset goes on running
// calls until its daemons notice that they are not current; that time has to be shorter than the key lifetime.
package idemp
