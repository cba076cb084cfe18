package node

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxRecordBytes limits the size of a configuration record that another host sends compressed. It is the limit on answers of the store.
	maxRecordBytes = 4 << 20
	// minPackedBytes is the size below which a record is not worth the memory of a compressor: it takes 26 ms on a link of 10 Mbit/s.
	minPackedBytes = 32 << 10
)

// configRecord is the encoded configuration in force. Hosts send it to each other compressed, because many of them have slow links and the
// names and fields in it recur: a record of 134 kB with 500 models and 350 routes takes 11 kB.
type configRecord struct {
	plain  []byte // as in the store
	packed []byte // plain in DEFLATE format; nil until another host lacks it
}

// recordPackers keep compressors of records, which are packed on the control thread, and listPackers those of lists, which are packed beside it.
// A compressor has buffers of about 1 MB.
var recordPackers, listPackers = newPackers(flate.BestSpeed), newPackers(flate.DefaultCompression)

func newPackers(level int) *sync.Pool {
	return &sync.Pool{New: func() any {
		w, _ := flate.NewWriter(nil, level) // It fails only for an unknown level.
		return w
	}}
}

// pack returns the compressed record, or nil if there is no record.
func (r *configRecord) pack() []byte {
	if r.packed == nil && len(r.plain) > 0 {
		r.packed = deflate(recordPackers, r.plain)
	}
	return r.packed
}

// deflate returns the data in DEFLATE format.
func deflate(packers *sync.Pool, data []byte) []byte {
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	w.Reset(&b)
	_, _ = w.Write(data) // Writing to memory does not fail.
	_ = w.Close()
	packers.Put(w)
	return b.Bytes()
}

// inflate returns data that deflate compressed, or an error if there are more bytes than the limit.
func inflate(packed []byte, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errors.Newf("compressed data exceeds %d bytes", limit)
	}
	return data, err
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
	return inflate(packed, maxRecordBytes)
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
