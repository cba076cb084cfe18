package node

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	// maxUnpackedBytes limits the size of what another host sends compressed. It is the limit on answers of the store.
	maxUnpackedBytes = 4 << 20
	// minPackedBytes is the size below which a record is not worth the memory of a compressor: it takes 26 ms on a link of 10 Mbit/s.
	minPackedBytes = 32 << 10
)

// configRecord is the encoded configuration in force. Hosts send it to each other compressed, because many of them have slow links and the
// names and fields in it recur: a record of 134 kB with 500 models and 350 routes takes 11 kB.
type configRecord struct {
	plain  []byte // as in the store
	packed []byte // plain in DEFLATE format; nil until another host lacks it
}

var (
	errTooLarge = errors.Newf("compressed data exceeds %d bytes", maxUnpackedBytes)

	// packers keeps compressors, which have buffers of about 1 MB.
	packers = sync.Pool{New: func() any {
		w, _ := flate.NewWriter(nil, flate.BestSpeed) // It fails only for an unknown level.
		return w
	}}
)

// pack returns the compressed record, or nil if there is no record.
func (r *configRecord) pack() []byte {
	if r.packed == nil && len(r.plain) > 0 {
		r.packed = deflate(r.plain)
	}
	return r.packed
}

// deflate returns the data in DEFLATE format.
func deflate(data []byte) []byte {
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	w.Reset(&b)
	_, _ = w.Write(data) // Writing to memory does not fail.
	_ = w.Close()
	packers.Put(w)
	return b.Bytes()
}

// inflate returns data that deflate compressed.
func inflate(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err == nil && len(data) > maxUnpackedBytes {
		err = errTooLarge
	}
	return data, err
}

// pack returns the complete list, compressed for hosts that lack it: several turn to a hub together when another one stops.
func (f *changeLog) pack(list map[string]fleet.Upstream) []byte {
	if f.packed == nil || f.packedAt != f.generation {
		var b bytes.Buffer
		_ = gob.NewEncoder(&b).Encode(slices.Collect(maps.Values(list))) // It fails only for types without a gob encoding.
		f.packed, f.packedAt = deflate(b.Bytes()), f.generation
	}
	return f.packed
}

// unpackList sets Put to the list in PackedPut, if there is one.
func (f *Feed) unpackList() error {
	if len(f.PackedPut) == 0 {
		return nil
	}
	data, err := inflate(f.PackedPut)
	if err != nil {
		return err
	}
	f.Put, f.PackedPut = nil, nil
	return peers.Decode(data, &f.Put)
}

// forHost returns the record as a host gets it: compressed if the record is large and the host can unpack it, otherwise plain.
func (r *configRecord) forHost(unpacks bool) (plain, packed []byte) {
	if unpacks && len(r.plain) >= minPackedBytes {
		return nil, r.pack()
	}
	return r.plain, nil
}

// state returns what a heartbeat says about the configuration of a version. It includes the record if the receiver is known to have an
// earlier one, compressed if the receiver can unpack it.
func (r *configRecord) state(version int64, receiver *ConfigState) *ConfigState {
	s := &ConfigState{Version: version, Unpacks: true}
	if receiver != nil && receiver.Version < version {
		s.Record, s.Packed = r.forHost(receiver.Unpacks)
	}
	return s
}

// hasRecord reports whether the state includes the record.
func (s *ConfigState) hasRecord() bool { return len(s.Record) > 0 || len(s.Packed) > 0 }

// unpack returns the record that another host sent, plain or compressed, or nil if there is none.
func unpack(plain, packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return plain, nil
	}
	return inflate(packed)
}

// applySentRecord applies a configuration record that another host sent, plain or compressed.
func (n *Node) applySentRecord(plain, packed []byte) {
	record, err := unpack(plain, packed)
	if err != nil {
		n.log("node").Warn("configuration record of another host is invalid", "event", eventSkipped, "entry", "configuration", "err", err)
		return
	}
	if len(record) > 0 {
		n.applyConfigRecord(record)
	}
}
