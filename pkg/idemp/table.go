package idemp

import (
	"slices"
	"time"
)

const (
	// A message between daemons is limited to 1 MiB; chunks and batches stay under half of it.
	chunkBytes   = 400 << 10
	chunkEntries = 500
	entryBytes   = 512 // entryBytes is the size of an entry without its body, with room for a key of the full length.
	// Entries are sent as they are made; a few of the previous ones are repeated so that one lost message costs no wait.
	repeatedEntries = 8
)

type (
	// keyRange is the state of one range at this daemon.
	keyRange struct {
		index  int
		assign Assignment
		table  map[string]Entry
		order  []aged // order lists keys by start time for expiry; entries of deleted keys are passed over.

		// Holder.
		valid     bool // valid tells that the table holds every key since the last blind reset.
		ready     bool // ready tells that the backup has the whole table.
		deposed   bool // deposed tells that the backup knows a newer epoch.
		unsent    []Transfer
		pending   []Entry // pending are the changes that the backup has not acknowledged, oldest first.
		acked     uint64  // acked is the sequence number before the first of pending.
		waiting   []waitingCall
		cause     cause
		since     time.Time
		proposeAt time.Time

		// Backup.
		complete bool
		chunks   map[int]bool
		applied  uint64
	}

	aged struct {
		key       string
		startedAt time.Time
	}

	waitingCall struct {
		call
		until time.Time
	}
)

func (r *keyRange) reset() {
	r.table, r.order = make(map[string]Entry), nil
}

func (r *keyRange) put(e Entry) {
	if r.table == nil {
		r.reset()
	}
	old, ok := r.table[e.Key]
	if ok && old.Attempt == e.Attempt {
		// Every message about an attempt gives its start with another delay.
		e.StartedAt = old.StartedAt
	}
	if !ok || !old.StartedAt.Equal(e.StartedAt) {
		r.order = append(r.order, aged{key: e.Key, startedAt: e.StartedAt})
	}
	r.table[e.Key] = e
}

// apply puts an entry, or deletes the key when the entry releases it.
func (r *keyRange) apply(e Entry) {
	if e.State != Released {
		r.put(e)
		return
	}
	if r.table[e.Key].Attempt == e.Attempt {
		delete(r.table, e.Key)
	}
}

// expire deletes the keys that are older than the lifetime.
func (r *keyRange) expire(now time.Time, lifetime time.Duration) {
	n := 0
	for ; n < len(r.order) && now.Sub(r.order[n].startedAt) >= lifetime; n++ {
		if e, ok := r.table[r.order[n].key]; ok && e.StartedAt.Equal(r.order[n].startedAt) {
			delete(r.table, e.Key)
		}
	}
	r.order = r.order[n:]
}

// snapshot cuts the table into chunks in order of start; an empty table is one empty chunk.
func (r *keyRange) snapshot(from string) []Transfer {
	var (
		chunks []Transfer
		part   []Entry
		size   int
	)
	cut := func() {
		chunks = append(chunks, Transfer{From: from, Range: r.index, Epoch: r.assign.Epoch, Entries: part})
		part, size = nil, 0
	}
	for _, a := range r.order {
		e, ok := r.table[a.key]
		if !ok || !e.StartedAt.Equal(a.startedAt) {
			continue
		}
		if n := entryBytes + len(e.Stored.Body); len(part) == chunkEntries || size+n > chunkBytes {
			cut()
		}
		part = append(part, e)
		size += entryBytes + len(e.Stored.Body)
	}
	cut()
	for i := range chunks {
		chunks[i].Chunk, chunks[i].Chunks = i, len(chunks)
	}
	return chunks
}

// batch returns the longest prefix of entries that fits into one message.
func batch(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += entryBytes + len(e.Stored.Body)
		if i > 0 && (size > chunkBytes || i == chunkEntries) {
			return entries[:i]
		}
	}
	return entries
}

// sortOrder restores the order by start after chunks arrived in any order.
func (r *keyRange) sortOrder() {
	slices.SortStableFunc(r.order, func(a, b aged) int { return a.startedAt.Compare(b.startedAt) })
}
