// Package idemp runs calls with an idempotency key at most once. Keys hash to key ranges. Each range has a holder, which
// runs the calls, and a backup, which must have recorded the start of a key before the holder may run it.
//
// # Protocol
//
// Records in the log assign a holder and a backup to each range; the offset of the record is the epoch. A record is
// accepted only if it is based on the current epoch, so the assignments of a range form one chain. In each epoch the
// holder first sends its table to the backup in chunks, then numbered changes. The backup applies changes in order,
// acknowledges the last one applied, and refuses every epoch except the one in its current assignment. A key is started
// in four steps: the holder records it as started, the backup acknowledges the change, the holder emits Run once, and the
// outcome follows as a further change.
//
// # Resets
//
// A reset is an assignment whose holder starts without a table, because no reachable daemon has a valid one. The state of
// all earlier keys is lost. [Assignment].StateLostEpoch is the epoch of the last reset.
//
// # Why a key runs at most once
//
//   - A Run needs an acknowledgement of the backup in the same epoch. In a chain without a reset, the next holder is either
//     the same daemon or that backup, and both have the key in their tables.
//   - A replaced holder gets no acknowledgement: its backup has become the holder, or was assigned to another epoch by a
//     holder that no longer starts keys in the old one.
//   - A backup whose table is incomplete never takes over with it. It proposes a reset instead.
//   - After a reset, keys chosen by callers may have run before. They are refused until every earlier key has expired.
//     A minted key carries the epoch in which it was made and is refused by holders of earlier epochs, so only the holders
//     since the reset can have run it.
//   - A started key is released only by the daemon that would have run it, on proof that the call was not sent or that the
//     service did not run it. The attempt's number keeps a late release from affecting a later attempt of the same key.
//
// # Answers of the class "not run"
//
// An answer of the class "not run" refers only to the Begin that it answers: the Begin made no entry, its entry was
// withdrawn before a Run was emitted, or the service proved that it did not run the call. An earlier Begin with the same key
// may have run.
//
// # Limits
//
// Keys are forgotten after the key lifetime. If a holder and its backup both miss a reset, they continue to run calls until
// they detect that their state is stale; the time to detect this must be shorter than the key lifetime.
package idemp
