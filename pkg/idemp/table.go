package idemp

import (
	"slices"
	"time"
)

const (
	// chunkBytes keeps chunks and batches under half of 1 MiB, the size limit of a message between daemons.
	chunkBytes   = 400 << 10
	chunkEntries = 500
	entryBytes   = 512 // size of an entry without its body, for a key of MaxKeyLength

	// repeatedEntries is the number of latest changes that are sent together whenever a change is made, so that a single lost
	// message causes no wait for a resend.
	repeatedEntries = 8
)

type (
	// keyRange is the state of one range at this daemon.
	keyRange struct {
		index       int
		assignment  Assignment
		table       map[string]Entry
		expiryQueue []expiryItem // keys by start time, including keys deleted since, which are skipped

		// Used while this daemon is the holder.
		tableValid     bool // set when the table has every key since the last reset
		backupSynced   bool // set when the backup has the whole table, or there is no backup
		superseded     bool // set when the backup reported a newer epoch
		unackedChunks  []Transfer
		unackedChanges []Entry // in order of sequence numbers, the first being lastAcked+1
		lastAcked      uint64
		waiting        []waitingCall
		cause          cause
		causeSince     time.Time
		proposeAt      time.Time

		// Used while this daemon is the backup.
		transferComplete bool
		receivedChunks   map[int]bool
		lastApplied      uint64
	}

	expiryItem struct {
		key       string
		startedAt time.Time
	}

	waitingCall struct {
		call
		deadline time.Time
	}
)

func (r *keyRange) clearTable() {
	r.table, r.expiryQueue = make(map[string]Entry), nil
}

func (r *keyRange) put(e Entry) {
	if r.table == nil {
		r.clearTable()
	}
	old, ok := r.table[e.Key]
	if ok && old.Attempt == e.Attempt {
		// Each message about an attempt gives a slightly different start time, depending on its delay in the network.
		e.StartedAt = old.StartedAt
	}
	if !ok || !old.StartedAt.Equal(e.StartedAt) {
		r.expiryQueue = append(r.expiryQueue, expiryItem{key: e.Key, startedAt: e.StartedAt})
	}
	r.table[e.Key] = e
}

// apply stores an entry, or deletes the key if the entry releases the attempt in the table.
func (r *keyRange) apply(e Entry) {
	if e.State != Released {
		r.put(e)
		return
	}
	if r.table[e.Key].Attempt == e.Attempt {
		delete(r.table, e.Key)
	}
}

// expire deletes the keys whose age has reached the lifetime.
func (r *keyRange) expire(now time.Time, lifetime time.Duration) {
	n := 0
	for ; n < len(r.expiryQueue) && now.Sub(r.expiryQueue[n].startedAt) >= lifetime; n++ {
		if e, ok := r.table[r.expiryQueue[n].key]; ok && e.StartedAt.Equal(r.expiryQueue[n].startedAt) {
			delete(r.table, e.Key)
		}
	}
	r.expiryQueue = r.expiryQueue[n:]
}

// tableChunks splits the table into chunks in order of start time; an empty table yields one empty chunk.
func (r *keyRange) tableChunks(from string) []Transfer {
	var (
		chunks []Transfer
		part   []Entry
		size   int
	)
	flush := func() {
		chunks = append(chunks, Transfer{From: from, Range: r.index, Epoch: r.assignment.Epoch, Entries: part})
		part, size = nil, 0
	}
	for _, it := range r.expiryQueue {
		e, ok := r.table[it.key]
		if !ok || !e.StartedAt.Equal(it.startedAt) {
			continue
		}
		if n := entryBytes + len(e.Stored.Body); len(part) == chunkEntries || size+n > chunkBytes {
			flush()
		}
		part = append(part, e)
		size += entryBytes + len(e.Stored.Body)
	}
	flush()
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

// sortExpiryQueue restores the order of start times, because chunks may arrive in any order.
func (r *keyRange) sortExpiryQueue() {
	slices.SortStableFunc(r.expiryQueue, func(a, b expiryItem) int { return a.startedAt.Compare(b.startedAt) })
}
