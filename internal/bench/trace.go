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

// Kinds of lines in a trace.
const (
	kindTrace  = "trace"
	kindFlow   = "flow"
	kindCall   = "call"
	kindSpeed  = "speed"
	kindStore  = "store"
	kindExpect = "expect"

	// compareSpeed is the value of Header.Compare for a comparison run without slowed upstreams.
	compareSpeed = "speed"
)

const (
	maxLineBytes = 1 << 16
	maxLines     = 100_000
	maxSeconds   = 24 * 60 * 60
	maxCalls     = 1_000_000
	maxTokens    = 1_000_000
	maxFactor    = 1000
	maxModels    = 1000 // more than any deployment has; a flow with more would only repeat models
	maxSession   = 1000
)

type (
	// Header is the first line of a trace.
	Header struct {
		Kind    string  `json:"kind"`
		Name    string  `json:"name"`
		About   string  `json:"about"`
		Seconds float64 `json:"seconds"`
		// From and To bound the part of the trace that is measured, in seconds.
		From float64 `json:"from"`
		To   float64 `json:"to"`
		// Compare is the tag whose calls the comparison run leaves out, or "speed" for a comparison run without slowed upstreams.
		Compare string `json:"compare"`
	}

	// Flow holds the parameters from which the calls of one workload are generated.
	Flow struct {
		Kind string  `json:"kind"`
		Tag  string  `json:"tag"`
		From float64 `json:"from"` // in seconds
		To   float64 `json:"to"`
		// Load is the work as a share of the capacity of the flow's models. Exactly one of Load, PerSecond and Count is set.
		Load      float64 `json:"load"`
		PerSecond float64 `json:"perSecond"`
		// Count is the number of calls for each model and host, at uniformly random times.
		Count int `json:"count"`
		// Session is the mean number of calls in a session, with a mean of ThinkSeconds between them; zero means single calls.
		Session      float64 `json:"session"`
		ThinkSeconds float64 `json:"thinkSeconds"`
		FirstModel   int     `json:"firstModel"`
		Models       int     `json:"models"`
		AdapterShare float64 `json:"adapterShare"` // share of calls that use an adapter of the model
		Urgency      string  `json:"urgency"`
		Prompt       int     `json:"promptTokens"`
		Answer       int     `json:"answerTokens"` // mean; lengths are uniformly distributed from half of it to one and a half times it
		DeadlineMS   int64   `json:"deadlineMillis"`
		Obeys        float64 `json:"obeys"` // share of callers who return at the retry time of a refusal
	}

	// ExplicitCall is a single call.
	ExplicitCall struct {
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

	// UpstreamSlowdown slows a share of the upstreams by a factor and makes their load figures older.
	UpstreamSlowdown struct {
		Kind      string  `json:"kind"`
		From      float64 `json:"from"`
		To        float64 `json:"to"`
		Share     float64 `json:"share"`
		Factor    float64 `json:"factor"`
		LagMillis int64   `json:"lagMillis"`
	}

	// StoreSlowdown slows the weight store by a factor.
	StoreSlowdown struct {
		Kind   string  `json:"kind"`
		From   float64 `json:"from"`
		To     float64 `json:"to"`
		Factor float64 `json:"factor"`
	}

	// Expect is an expected result: the measure is at most or at least the target.
	Expect struct {
		Kind    string  `json:"kind"`
		Measure string  `json:"measure"`
		AtMost  bool    `json:"atMost"`
		Target  float64 `json:"target"`
	}

	// Trace is a decoded trace.
	Trace struct {
		Header
		Flows             []Flow
		ExplicitCalls     []ExplicitCall
		UpstreamSlowdowns []UpstreamSlowdown
		StoreSlowdowns    []StoreSlowdown
		Expects           []Expect
	}
)

//go:embed traces/*.jsonl
var traceFiles embed.FS

// Traces returns the embedded traces in ascending order of file name.
func Traces() ([]*Trace, error) {
	entries, err := fs.ReadDir(traceFiles, "traces")
	if err != nil {
		return nil, codes.New(codes.Internal, err.Error())
	}
	var all []*Trace
	for _, e := range entries {
		data, err := fs.ReadFile(traceFiles, "traces/"+e.Name())
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

// Decode reads a trace in JSON lines; it returns a BadArgument error that names the first invalid line.
func Decode(r io.Reader) (*Trace, error) {
	t := &Trace{}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	n := 0
	for s.Scan() {
		if n++; n > maxLines {
			return nil, lineError(n, "the trace has too many lines")
		}
		if strings.TrimSpace(s.Text()) == "" {
			continue
		}
		if err := t.decodeLine(s.Bytes()); err != nil {
			return nil, lineError(n, err.Error())
		}
	}
	if err := s.Err(); err != nil {
		return nil, lineError(n+1, err.Error())
	}
	if t.Name == "" {
		return nil, lineError(n, "a line of kind \"trace\" is missing")
	}
	return t, nil
}

func (t *Trace) decodeLine(data []byte) error {
	var k struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(data, &k); err != nil {
		return err
	}
	if (k.Kind == kindTrace) != (t.Name == "") {
		return codes.New(codes.BadArgument, "the first line, and only the first, must have kind \"trace\"")
	}
	switch k.Kind {
	case kindTrace:
		return decodeInto(data, &t.Header, Header.check)
	case kindFlow:
		return decodeAppend(data, &t.Flows, func(f Flow) bool { return f.check(t.Seconds) })
	case kindCall:
		return decodeAppend(data, &t.ExplicitCalls, func(l ExplicitCall) bool { return l.check(t.Seconds) })
	case kindSpeed:
		return decodeAppend(data, &t.UpstreamSlowdowns, func(s UpstreamSlowdown) bool {
			return validSpan(s.From, s.To, t.Seconds) && s.Share > 0 && s.Share <= 1 && s.Factor >= 1 && s.Factor <= maxFactor &&
				s.LagMillis >= 0 && s.LagMillis <= maxSeconds
		})
	case kindStore:
		return decodeAppend(data, &t.StoreSlowdowns, func(s StoreSlowdown) bool {
			return validSpan(s.From, s.To, t.Seconds) && s.Factor >= 1 && s.Factor <= maxFactor
		})
	case kindExpect:
		return decodeAppend(data, &t.Expects, func(x Expect) bool { return slices.Contains(measureNames(), x.Measure) })
	}
	return codes.New(codes.BadArgument, "unknown kind of line")
}

func decodeInto[T any](data []byte, to *T, check func(T) bool) error {
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

func decodeAppend[T any](data []byte, to *[]T, check func(T) bool) error {
	var x T
	if err := decodeInto(data, &x, check); err != nil {
		return err
	}
	*to = append(*to, x)
	return nil
}

func validSpan(from, to, end float64) bool { return from >= 0 && from < to && to <= end }

func (h Header) check() bool {
	return spec.ValidName(h.Name) && h.Seconds > 0 && h.Seconds <= maxSeconds && validSpan(h.From, h.To, h.Seconds)
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
	return known && rates == 1 && validSpan(f.From, f.To, end) && f.Models > 0 && f.FirstModel >= 0 && f.Models <= maxModels &&
		f.FirstModel <= maxModels && validWork(f.Prompt, f.Answer, f.DeadlineMS) && validShare(f.Obeys) && validShare(f.AdapterShare) &&
		f.Session >= 0 && f.Session <= maxSession && f.ThinkSeconds >= 0 && f.ThinkSeconds <= maxSeconds
}

func (l ExplicitCall) check(end float64) bool {
	_, known := spec.ParseUrgency(l.Urgency)
	return known && l.AtMicros >= 0 && float64(l.AtMicros) <= end*1e6 && l.Host >= 0 && l.Host < hostCount && l.Model >= 0 &&
		validWork(l.Prompt, l.Answer, l.DeadlineMS)
}

func validWork(prompt, answer int, deadline int64) bool {
	return prompt >= 0 && prompt <= maxTokens && answer > 0 && answer <= maxTokens && deadline > 0 &&
		deadline <= maxSeconds*1000
}

func validShare(x float64) bool { return x >= 0 && x <= 1 }

func (t *Trace) duration() time.Duration { return seconds(t.Seconds) }

func lineError(line int, detail string) error {
	return codes.Newf(codes.BadArgument, "trace line %d: %s", line, detail)
}
