package codes

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// TestTableIsComplete guards against a code that is listed twice, or that lacks a title, HTTP status or exit code and would be sent
// with status 0.
func TestTableIsComplete(t *testing.T) {
	c := qt.New(t)
	seen := make(map[Code]bool)
	for _, code := range All() {
		c.Assert(seen[code], qt.IsFalse, qt.Commentf("code %d is listed twice", code))
		seen[code] = true
		c.Assert(code.Title(), qt.Not(qt.Equals), "")
		c.Assert(code.HTTPStatus() >= 200, qt.IsTrue)
		c.Assert(code == OK || code.ExitCode() > 0, qt.IsTrue)
	}
}

// TestFrom guards against a wrapped error that loses its code, and an error without a code that is reported as not run.
func TestFrom(t *testing.T) {
	c := qt.New(t)
	c.Assert(From(nil) == nil, qt.IsTrue)
	c.Assert(From(errors.Wrap(New(StaleBase, "x"), "y")).Code(), qt.Equals, StaleBase)
	c.Assert(From(errors.New("x")).Outcome(), qt.Equals, Unknown)
}
