package locate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// refusalTTL is how long a cell that had no memory for a model gets no further request to load it. Work that could free memory
// ends within seconds; half of this time showed no gain under a burst of requests for unloaded models.
const refusalTTL = 5 * time.Second

type (
	// Table records which cells had no memory for a model.
	Table struct {
		refused map[modelCell]time.Time
	}

	// Cells describes the cells that a model with pending requests could be loaded in.
	Cells struct {
		Local        string   // cell of the requesting host
		Usable       []string // cells with an upstream that accepts loads
		Holders      []string // cells that hold permits for the model, sorted by name
		PermitsFixed bool     // set when permits cannot move, for example during an outage of the log
	}

	modelCell struct {
		model string
		cell  string
	}
)

// New returns a table without refusals.
func New() *Table { return &Table{refused: make(map[modelCell]time.Time)} }

// PreferredCell returns the preferred cell of a model, which is the one with the highest rendezvous weight, or an empty string if
// there are no cells.
func PreferredCell(model string, usable []string) string {
	if len(usable) == 0 {
		return ""
	}
	return slices.MaxFunc(usable, func(a, b string) int { return compareWeights(model, a, b) })
}

// Choose returns the cell that should load the model, or an empty string if every eligible cell has recently refused the model.
func (t *Table) Choose(now time.Time, model string, c Cells) string {
	for _, name := range rankCells(model, c) {
		if !t.recentlyRefused(now, model, name) {
			return name
		}
	}
	return ""
}

// HasAlternative reports whether an eligible cell other than the named one has not recently refused the model.
func (t *Table) HasAlternative(now time.Time, model string, c Cells, cell string) bool {
	return slices.ContainsFunc(c.eligible(), func(name string) bool { return name != cell && !t.recentlyRefused(now, model, name) })
}

func (t *Table) recentlyRefused(now time.Time, model, cell string) bool {
	at, ok := t.refused[modelCell{model, cell}]
	return ok && now.Sub(at) <= refusalTTL
}

// RecordRefusal records that a cell had no memory for the model.
func (t *Table) RecordRefusal(now time.Time, model, cell string) {
	for p, at := range t.refused {
		if now.Sub(at) > refusalTTL {
			delete(t.refused, p)
		}
	}
	t.refused[modelCell{model, cell}] = now
}

// eligible returns the cells that may load the model. While permits cannot move, these are the holders, if any is usable: a
// cell without a permit would keep the request until its deadline, so the holder has to free memory.
func (c Cells) eligible() []string {
	holders := slices.DeleteFunc(slices.Clone(c.Usable), func(name string) bool { return !slices.Contains(c.Holders, name) })
	if c.PermitsFixed && len(holders) > 0 {
		return holders
	}
	return slices.Clone(c.Usable)
}

// rankCells returns the eligible cells in the order in which they are tried: the host's own cell if it holds permits, then other
// holders, then the rest. Cells of the same rank are sorted by rendezvous weight, so that all hosts choose the same one.
func rankCells(model string, c Cells) []string {
	rank := func(name string) int {
		switch {
		case !slices.Contains(c.Holders, name):
			return 2
		case name == c.Local:
			return 0
		}
		return 1
	}
	list := c.eligible()
	slices.SortStableFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), compareWeights(model, b, a))
	})
	return list
}

func compareWeights(model, a, b string) int {
	return cmp.Or(cmp.Compare(weight(model, a), weight(model, b)), cmp.Compare(a, b))
}

func weight(model, cell string) uint64 { return xxhash.Sum64String(model + "\x00" + cell) }
