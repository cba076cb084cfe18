package homes

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// refusalLife is the time for which a cell without memory for a model is not asked again. Work that could free memory ends
// within seconds; half of it showed no gain in a trace of a burst for cold models.
const refusalLife = 5 * time.Second

type (
	// Table remembers which cells had no memory for a model.
	Table struct {
		refused map[pair]time.Time
	}

	// Cells is what is known of the cells when a model is wanted.
	Cells struct {
		Own     string
		Usable  []string // Usable cells have an upstream that takes loads.
		Holders []string // Holders are the cells that hold permits of the model, in order of name.
		Fixed   bool     // Fixed tells that permits cannot move, as in an outage of the log.
	}

	pair struct {
		model string
		cell  string
	}
)

// New returns a table without refusals.
func New() *Table { return &Table{refused: make(map[pair]time.Time)} }

// Home returns the home cell of a model: the one with the highest rendezvous weight, or an empty string without cells.
func Home(model string, usable []string) string {
	if len(usable) == 0 {
		return ""
	}
	return slices.MaxFunc(usable, func(a, b string) int { return compare(model, a, b) })
}

// Choose returns the cell to ask, or an empty string if every usable cell has refused the model a short time ago.
func (t *Table) Choose(now time.Time, model string, c Cells) string {
	for _, name := range order(model, c) {
		if !t.refusing(now, model, name) {
			return name
		}
	}
	return ""
}

// Elsewhere reports whether a usable cell other than the named one could still be asked.
func (t *Table) Elsewhere(now time.Time, model string, c Cells, cell string) bool {
	return slices.ContainsFunc(c.open(), func(name string) bool { return name != cell && !t.refusing(now, model, name) })
}

func (t *Table) refusing(now time.Time, model, cell string) bool {
	at, ok := t.refused[pair{model, cell}]
	return ok && now.Sub(at) <= refusalLife
}

// Refused notes that a cell had no memory for the model.
func (t *Table) Refused(now time.Time, model, cell string) {
	for p, at := range t.refused {
		if now.Sub(at) > refusalLife {
			delete(t.refused, p)
		}
	}
	t.refused[pair{model, cell}] = now
}

// open returns the cells that may load the model. While permits cannot move, a cell without one would keep the work until its
// deadline, and the holder must make room.
func (c Cells) open() []string {
	holders := slices.DeleteFunc(slices.Clone(c.Usable), func(name string) bool { return !slices.Contains(c.Holders, name) })
	if c.Fixed && len(holders) > 0 {
		return holders
	}
	return slices.Clone(c.Usable)
}

// order returns the usable cells in the order in which they are asked: the own one if it holds permits, other holders, and
// the rest by rendezvous weight, so that all hosts ask the same one.
func order(model string, c Cells) []string {
	rank := func(name string) int {
		switch {
		case !slices.Contains(c.Holders, name):
			return 2
		case name == c.Own:
			return 0
		}
		return 1
	}
	list := c.open()
	slices.SortStableFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), compare(model, b, a))
	})
	return list
}

func compare(model, a, b string) int {
	return cmp.Or(cmp.Compare(weight(model, a), weight(model, b)), cmp.Compare(a, b))
}

func weight(model, cell string) uint64 { return xxhash.Sum64String(model + "\x00" + cell) }
