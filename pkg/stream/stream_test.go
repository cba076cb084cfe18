package stream

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// Guards against foreign, missing, doubled or reordered tokens that reach the caller, and against a short success.
func TestAccept(t *testing.T) {
	k := func(seq int64, tokens ...string) Chunk { return Chunk{RequestID: "r", Seq: seq, Tokens: tokens} }
	end := func(seq int64, tokens ...string) Chunk {
		return Chunk{RequestID: "r", Seq: seq, Tokens: tokens, End: true}
	}
	for _, test := range []struct {
		name   string
		chunks []Chunk
		want   string
		fault  string // fault is part of the error of Close; empty where the answer is whole.
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
			c.Assert(s.Ended(), qt.Equals, test.fault == "")
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
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("an attempt goes on after its fault"))
	s.Resume(1, "r")
	_, err = s.Accept(1, end(0, "a"))
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Accept(1, k(1, "b"))
	qt.Assert(t, err, qt.ErrorMatches, ".*follow the end")
}

// Guards against an answer mixed from several attempts: whatever is lost, doubled or late, the caller has a prefix of
// the answer, each token from the attempt that was present, and the whole answer when the check says so.
func TestResume(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		total, attempts, s := 1+draw(12), 1, New("0")
		at := []int{0} // at is the position of each attempt.
		for range draw(60) {
			a := draw(attempts)
			if draw(8) == 0 {
				at = append(at, max(0, int(s.Resume(attempts, fmt.Sprint(attempts)))-draw(3)))
				attempts++
				continue
			}
			from := max(0, at[a]-draw(2)+draw(9)/8)
			to := min(total, from+draw(3))
			k := Chunk{RequestID: fmt.Sprint(a), Seq: int64(from), End: to == total && draw(2) == 0}
			for i := from; i < to; i++ {
				k.Tokens = append(k.Tokens, fmt.Sprintf("%d", i))
			}
			before := s.Next()
			tokens, err := s.Accept(a, k)
			if at[a] = max(at[a], to); err == nil && a == attempts-1 && int64(from) > before {
				rt.Fatalf("gap accepted at %d", before)
			}
			for i, token := range tokens {
				if token != fmt.Sprint(before+int64(i)) || a != attempts-1 {
					rt.Fatalf("token %s of attempt %d at %d", token, a, before)
				}
			}
		}
		if s.Ended() && s.Next() != int64(total) || s.Ended() != (s.Close() == nil) {
			rt.Fatalf("short success: %d of %d tokens", s.Next(), total)
		}
	})
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

// Guards against departures from the event stream format of the HTML standard.
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

// Guards against a decoder that panics, depends on how the bytes are cut, or does not read what AppendEvent writes.
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
