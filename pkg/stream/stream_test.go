package stream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// TestAccept guards against tokens that reach the caller from another request, duplicated, reordered or after a gap, and
// against an incomplete answer that is reported as a success.
func TestAccept(t *testing.T) {
	k := func(seq int64, tokens ...string) Chunk { return Chunk{RequestID: "r", Seq: seq, Tokens: tokens} }
	end := func(seq int64, tokens ...string) Chunk {
		return Chunk{RequestID: "r", Seq: seq, Tokens: tokens, End: true}
	}
	for _, test := range []struct {
		name   string
		chunks []Chunk
		want   string
		fault  string // part of the error of Close; empty if the answer is complete
	}{
		{"whole", []Chunk{k(0, "a"), k(1, "b", "c"), end(3)}, "abc", ""},
		{"end with tokens", []Chunk{end(0, "a")}, "a", ""},
		{"empty answer", []Chunk{end(0)}, "", ""},
		{"doubled", []Chunk{k(0, "a"), k(0, "a"), k(1, "b"), end(2), end(2)}, "ab", ""},
		{"overlap", []Chunk{k(0, "a", "b"), k(1, "b", "c"), end(3)}, "abc", ""},
		{"no end", []Chunk{k(0, "a")}, "a", "no end marker after 1"},
		{"nothing", nil, "", "no end marker after 0"},
		{"gap", []Chunk{k(0, "a"), k(2, "c"), k(1, "b"), end(3)}, "a", "missing"},
		{"gap before end", []Chunk{k(0, "a"), end(2)}, "a", "missing"},
		{"early end", []Chunk{k(0, "a", "b"), end(1)}, "ab", "ends before"},
		{"foreign", []Chunk{k(0, "a"), {RequestID: "s", Seq: 1, Tokens: []string{"x"}}, end(1)}, "a", "another request"},
		{"negative", []Chunk{k(-1, "a")}, "", "invalid"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := New("r")
			got := ""
			for _, chunk := range test.chunks {
				tokens, err := s.Accept(0, chunk)
				c.Assert(err == nil || codes.From(err).Code() == codes.StreamBroken, qt.IsTrue)
				got += strings.Join(tokens, "")
			}
			c.Assert(got, qt.Equals, test.want)
			c.Assert(s.Finished(), qt.Equals, test.fault == "")
			if test.fault == "" {
				c.Assert(s.Close(), qt.IsNil)
				return
			}
			c.Assert(s.Close(), qt.ErrorMatches, ".*"+test.fault+".*")
			c.Assert(codes.From(s.Close()).Code(), qt.Equals, codes.StreamBroken)
		})
	}
	s := New("r")
	_, err := s.Accept(0, end(1))
	qt.Assert(t, err, qt.IsNotNil)
	_, err = s.Accept(0, end(0, "a"))
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("an attempt continues after its failure"))
	s.Resume(1, "r")
	_, err = s.Accept(1, end(0, "a"))
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Accept(1, k(1, "b"))
	qt.Assert(t, err, qt.ErrorMatches, ".*follow the end")
}

// simulation delivers an answer of a few tokens in several attempts. Chunks are lost, duplicated, late or of another
// request.
type simulation struct {
	draw      func(n int) int
	check     *Check
	total     int
	positions []int // next token of each attempt; the last attempt is the current one
	failed    bool  // set when the current attempt has failed
}

// chunk draws the next chunk of an attempt.
func (x *simulation) chunk(a int) Chunk {
	from := max(0, x.positions[a]-x.draw(2)+x.draw(9)/8)
	to := min(x.total, from+x.draw(3))
	k := Chunk{RequestID: fmt.Sprint(a), Seq: int64(from), End: to == x.total && x.draw(2) == 0}
	for i := from; i < to; i++ {
		k.Tokens = append(k.Tokens, fmt.Sprint(i))
	}
	x.positions[a] = max(x.positions[a], to)
	switch x.draw(24) {
	case 0:
		k = Chunk{RequestID: "other", Seq: k.Seq, Tokens: []string{"x"}}
	case 1:
		k = Chunk{RequestID: k.RequestID, Seq: -1, Tokens: []string{"x", "x", "x"}}
	case 2:
		if next := x.check.Next(); x.check.Finished() {
			k = Chunk{RequestID: k.RequestID, Seq: next, Tokens: []string{"x"}}
		} else if next > 0 {
			k = Chunk{RequestID: k.RequestID, Seq: next - 1, End: true} // The end comes too early.
		}
	}
	return k
}

// step delivers a chunk or starts another attempt, and returns a description of the fault, if any.
func (x *simulation) step() string {
	s, current := x.check, len(x.positions)-1
	if x.draw(8) == 0 {
		from := s.Resume(current+1, fmt.Sprint(current+1))
		x.positions, x.failed = append(x.positions, max(0, int(from)-x.draw(3))), false
		if from != s.Next() {
			return fmt.Sprintf("resumed at %d of %d", from, s.Next())
		}
		return ""
	}
	a := x.draw(len(x.positions))
	k, before, finished := x.chunk(a), s.Next(), s.Finished()
	tokens, err := s.Accept(a, k)
	switch {
	case err != nil && a != current:
		return "a late chunk of a cancelled attempt fails the current one"
	case err == nil && a == current && k.Seq > before:
		return fmt.Sprintf("gap accepted at %d", before)
	case len(tokens) > 0 && (x.failed || finished):
		return fmt.Sprintf("tokens at %d after a failure or the end", before)
	case err == nil && a == current && k.RequestID == "other":
		return "chunk of another request accepted"
	}
	x.failed = x.failed || err != nil
	for i, token := range tokens {
		if token != fmt.Sprint(before+int64(i)) || a != current {
			return fmt.Sprintf("token %s of attempt %d at %d", token, a, before)
		}
	}
	return ""
}

// simulate runs random steps and returns a description of the first fault, or an empty string.
func simulate(draw func(n int) int, disabled disabledChecks) string {
	x := &simulation{draw: draw, check: New("0"), total: 1 + draw(12), positions: []int{0}}
	x.check.disabled = disabled
	for range draw(60) {
		if fault := x.step(); fault != "" {
			return fault
		}
	}
	if s := x.check; s.Finished() && s.Next() != int64(x.total) || s.Finished() != (s.Close() == nil) {
		return fmt.Sprintf("incomplete answer reported as a success: %d of %d tokens", s.Next(), x.total)
	}
	return ""
}

// TestResume guards against an answer that mixes several attempts. Whichever chunks are lost, duplicated or late, the caller
// has a prefix of the answer, each token from the attempt that was current, and the complete answer when Finished reports so.
func TestResume(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		if fault := simulate(draw, disabledChecks{}); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestMutantsAreCaught guards against a simulation that still passes when a check is disabled.
func TestMutantsAreCaught(t *testing.T) {
	for name, disabled := range map[string]disabledChecks{
		"":                                  {},
		"cancelled attempts":                {attempt: true},
		"continues after a failure":         {failed: true},
		"request ID":                        {request: true},
		"index and length":                  {index: true},
		"sequence":                          {gap: true},
		"tokens after the end":              {afterEnd: true},
		"end before delivered tokens":       {earlyEnd: true},
		"tokens that the caller has":        {overlap: true},
		"resume index":                      {resume: true},
		"complete only with the end marker": {end: true},
	} {
		fault := ""
		for seed := uint64(0); seed < 2000 && fault == ""; seed++ {
			fault = simulate(rand.New(rand.NewPCG(seed, 5)).IntN, disabled)
		}
		t.Logf("%q: %s", name, fault)
		qt.Check(t, fault != "", qt.Equals, disabled != disabledChecks{}, qt.Commentf("%q", name))
	}
}

func decode(pieces ...string) ([]Event, *Decoder, error) {
	var (
		d   Decoder
		all []Event
		err error
	)
	for _, p := range pieces {
		var events []Event
		if events, err = d.Feed([]byte(p)); err != nil {
			break
		}
		all = append(all, events...)
	}
	return all, &d, err
}

// TestDecoder guards against a decoder that deviates from the event stream format of the HTML standard, and against input that
// makes it allocate without bound.
func TestDecoder(t *testing.T) {
	for _, test := range []struct {
		in      string
		want    []Event
		partial bool
	}{
		{"data: a\n\n", []Event{{Data: "a"}}, false},
		{"data:a\r\n\r\ndata:  b\r\r", []Event{{Data: "a"}, {Data: " b"}}, false},
		{"\xef\xbb\xbfevent: x\nid: 7\ndata: a\ndata\ndata: b\n\n", []Event{{Name: "x", ID: "7", Data: "a\n\nb"}}, false},
		{": note\nretry: 5\nevent: lost\n\ndata: a\n\n", []Event{{Data: "a"}}, false},
		{"data: a\n\ndata: b\n", []Event{{Data: "a"}}, true},
		{"data: a\n\nda", []Event{{Data: "a"}}, true},
	} {
		got, d, err := decode(test.in)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, test.want)
		qt.Check(t, d.Partial(), qt.Equals, test.partial)
	}
	for _, flood := range []string{strings.Repeat("x", 1<<16), strings.Repeat("data\n", 1<<14), strings.Repeat(":\n", 1<<15)} {
		_, _, err := decode(slices.Repeat([]string{flood}, 40)...)
		qt.Check(t, codes.From(err).Code(), qt.Equals, codes.StreamBroken)
	}
}

// FuzzDecoder guards against a decoder that panics, depends on how the input is split, or does not decode what AppendEvent
// encodes.
func FuzzDecoder(f *testing.F) {
	f.Add("event: x\r\nid: 7\rdata: a\n\n", 3)
	f.Add("\xef\xbb\xbfdata: {\"requestId\":\"r\",\"seq\":0,\"end\":true}\n\n", 1)
	f.Fuzz(func(t *testing.T, in string, cut int) {
		whole, _, err := decode(in)
		if err != nil {
			return
		}
		step := max(1, cut%16)
		var pieces []string
		for i := 0; i < len(in); i += step {
			pieces = append(pieces, in[i:min(len(in), i+step)])
		}
		parts, _, err := decode(pieces...)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, parts, qt.DeepEquals, whole)
		var out []byte
		for _, e := range whole {
			out = AppendEvent(out, e)
		}
		again, _, err := decode(string(out))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, whole)
	})
}
