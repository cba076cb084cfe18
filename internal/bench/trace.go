package bench

import (
	"bufio"
	"bytes"
	"embed"
	"encoding/json"
	"io"
	"io/fs"
	"slices"
	"strings"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// The kinds of line of a trace.
const (
	kindTrace  = "trace"
	kindFlow   = "flow"
	kindCall   = "call"
	kindSpeed  = "speed"
	kindStore  = "store"
	kindExpect = "expect"

	compareSpeed = "speed"
)

const (
	maxLine    = 1 << 16
	maxLines   = 100_000
	maxSeconds = 24 * 60 * 60
	maxCalls   = 1_000_000
	maxTokens  = 1_000_000
	maxFactor  = 1000
	maxModels  = 1000 // More than any deployment has; a flow over more would only repeat them.
	maxSession = 1000
)

type (
	// Header is the first line of a trace.
	Header struct {
		Kind    string  `json:"kind"`
		Name    string  `json:"name"`
		About   string  `json:"about"`
		Seconds float64 `json:"seconds"`
		// From and To bound the arrivals that are measured, in seconds.
		From float64 `json:"from"`
		To   float64 `json:"to"`
		// Compare names the tag whose calls a second run leaves out, or "speed" for a second run without changes of speed.
		Compare string `json:"compare"`
	}

	// Flow is the parameters from which the calls of one kind of work are generated.
	Flow struct {
		Kind string  `json:"kind"`
		Tag  string  `json:"tag"`
		From float64 `json:"from"` // From and To are in seconds.
		To   float64 `json:"to"`
		// Load is the work as a share of the capacity of the flow's models; zero means that PerSecond is set.
		Load      float64 `json:"load"`
		PerSecond float64 `json:"perSecond"`
		// Count is a number of calls for each model and host, spread evenly at random; it replaces the rate.
		Count int `json:"count"`
		// Session is the mean number of calls that follow each other after ThinkSeconds on average; zero means single calls.
		Session      float64 `json:"session"`
		ThinkSeconds float64 `json:"thinkSeconds"`
		FirstModel   int     `json:"firstModel"`
		Models       int     `json:"models"`
		AdapterShare float64 `json:"adapterShare"` // AdapterShare is the share of calls that use an adapter of the model.
		Urgency      string  `json:"urgency"`
		Prompt       int     `json:"promptTokens"`
		Answer       int     `json:"answerTokens"` // Answer is the mean; lengths vary evenly by half of it both ways.
		DeadlineMS   int64   `json:"deadlineMillis"`
		Obeys        float64 `json:"obeys"` // Obeys is the share of callers who return at the retry time of a refusal.
	}

	// Line is one explicit call.
	Line struct {
		Kind       string `json:"kind"`
		Tag        string `json:"tag"`
		AtMicros   int64  `json:"atMicros"`
		Host       int    `json:"host"`
		Model      int    `json:"model"`
		Adapter    string `json:"adapter"`
		Urgency    string `json:"urgency"`
		Prompt     int    `json:"promptTokens"`
		Answer     int    `json:"answerTokens"`
		DeadlineMS int64  `json:"deadlineMillis"`
		Obeys      bool   `json:"obeys"`
	}

	// Speed slows a share of the upstreams by a factor and makes their load figures older.
	Speed struct {
		Kind      string  `json:"kind"`
		From      float64 `json:"from"`
		To        float64 `json:"to"`
		Share     float64 `json:"share"`
		Factor    float64 `json:"factor"`
		LagMillis int64   `json:"lagMillis"`
	}

	// Slowness slows the weight store by a factor.
	Slowness struct {
		Kind   string  `json:"kind"`
		From   float64 `json:"from"`
		To     float64 `json:"to"`
		Factor float64 `json:"factor"`
	}

	// Expect is a stated outcome: the result of the measure is at most or at least the target.
	Expect struct {
		Kind    string  `json:"kind"`
		Measure string  `json:"measure"`
		AtMost  bool    `json:"atMost"`
		Target  float64 `json:"target"`
	}

	// Trace is a decoded trace.
	Trace struct {
		Header
		Flows   []Flow
		Lines   []Line
		Speeds  []Speed
		Stores  []Slowness
		Expects []Expect
	}
)

//go:embed traces/*.jsonl
var files embed.FS

// Traces returns the traces of the repository in ascending order of name.
func Traces() ([]*Trace, error) {
	entries, err := fs.ReadDir(files, "traces")
	if err != nil {
		return nil, codes.New(codes.Internal, err.Error())
	}
	var all []*Trace
	for _, e := range entries {
		data, err := fs.ReadFile(files, "traces/"+e.Name())
		if err != nil {
			return nil, codes.New(codes.Internal, err.Error())
		}
		t, err := Decode(bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		all = append(all, t)
	}
	return all, nil
}

// Decode reads a trace in JSON lines; it returns a BadArgument error that names the first line at fault.
func Decode(r io.Reader) (*Trace, error) {
	t := &Trace{}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	n := 0
	for s.Scan() {
		if n++; n > maxLines {
			return nil, fault(n, "too many lines")
		}
		if strings.TrimSpace(s.Text()) == "" {
			continue
		}
		if err := t.line(s.Bytes()); err != nil {
			return nil, fault(n, err.Error())
		}
	}
	if err := s.Err(); err != nil {
		return nil, fault(n+1, err.Error())
	}
	if t.Name == "" {
		return nil, fault(n, "line of kind trace is missing")
	}
	return t, nil
}

func (t *Trace) line(data []byte) error {
	var k struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(data, &k); err != nil {
		return err
	}
	if (k.Kind == kindTrace) != (t.Name == "") {
		return codes.New(codes.BadArgument, "the first line, and no other, has kind trace")
	}
	switch k.Kind {
	case kindTrace:
		return into(data, &t.Header, Header.check)
	case kindFlow:
		return appendTo(data, &t.Flows, func(f Flow) bool { return f.check(t.Seconds) })
	case kindCall:
		return appendTo(data, &t.Lines, func(l Line) bool { return l.check(t.Seconds) })
	case kindSpeed:
		return appendTo(data, &t.Speeds, func(s Speed) bool {
			return span(s.From, s.To, t.Seconds) && s.Share > 0 && s.Share <= 1 && s.Factor >= 1 && s.Factor <= maxFactor &&
				s.LagMillis >= 0 && s.LagMillis <= maxSeconds
		})
	case kindStore:
		return appendTo(data, &t.Stores, func(s Slowness) bool {
			return span(s.From, s.To, t.Seconds) && s.Factor >= 1 && s.Factor <= maxFactor
		})
	case kindExpect:
		return appendTo(data, &t.Expects, func(x Expect) bool { return slices.Contains(measureNames(), x.Measure) })
	}
	return codes.New(codes.BadArgument, "kind is unknown")
}

func into[T any](data []byte, to *T, check func(T) bool) error {
	var x T
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&x); err != nil {
		return err
	}
	if !check(x) {
		return codes.New(codes.BadArgument, "a field is missing or out of range")
	}
	*to = x
	return nil
}

func appendTo[T any](data []byte, to *[]T, check func(T) bool) error {
	var x T
	if err := into(data, &x, check); err != nil {
		return err
	}
	*to = append(*to, x)
	return nil
}

func span(from, to, end float64) bool { return from >= 0 && from < to && to <= end }

func (h Header) check() bool {
	return spec.ValidName(h.Name) && h.Seconds > 0 && h.Seconds <= maxSeconds && span(h.From, h.To, h.Seconds)
}

func (f Flow) check(end float64) bool {
	_, known := spec.ParseUrgency(f.Urgency)
	rates := 0
	for _, x := range []float64{f.Load, f.PerSecond, float64(f.Count)} {
		if x < 0 || x > maxCalls {
			return false
		}
		if x > 0 {
			rates++
		}
	}
	return known && rates == 1 && span(f.From, f.To, end) && f.Models > 0 && f.FirstModel >= 0 && f.Models <= maxModels &&
		f.FirstModel <= maxModels && work(f.Prompt, f.Answer, f.DeadlineMS) && share01(f.Obeys) && share01(f.AdapterShare) &&
		f.Session >= 0 && f.Session <= maxSession && f.ThinkSeconds >= 0 && f.ThinkSeconds <= maxSeconds
}

func (l Line) check(end float64) bool {
	_, known := spec.ParseUrgency(l.Urgency)
	return known && l.AtMicros >= 0 && float64(l.AtMicros) <= end*1e6 && l.Host >= 0 && l.Host < hostCount && l.Model >= 0 &&
		work(l.Prompt, l.Answer, l.DeadlineMS)
}

func work(prompt, answer int, deadline int64) bool {
	return prompt >= 0 && prompt <= maxTokens && answer > 0 && answer <= maxTokens && deadline > 0 &&
		deadline <= maxSeconds*1000
}

func share01(x float64) bool { return x >= 0 && x <= 1 }

func (t *Trace) length() time.Duration { return seconds(t.Seconds) }

func fault(line int, detail string) error {
	return codes.Newf(codes.BadArgument, "trace line %d: %s", line, detail)
}
