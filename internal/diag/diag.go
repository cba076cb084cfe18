package diag

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	maxLine = 1 << 20
	// contextWindow is the time before and after a request in which lines about its host, upstream and model are included.
	contextWindow = 3 * time.Second
	// clockSkew is the assumed clock skew between hosts: lines of different hosts that are closer in time have no certain order.
	clockSkew = 50 * time.Millisecond
)

// Numbers of the log events that this package evaluates; they are defined in internal/node.
const (
	eventDependencyLost = 104
	eventDependencyBack = 105
	eventSuspended      = 106
	eventStopping       = 101
	eventFailed         = 201
	eventConfig         = 300
	eventUpstream       = 302
	eventUpstreamGone   = 303
	eventLease          = 400
	eventLeaseLost      = 401
	eventOrder          = 402
)

type (
	// Line is a structured log line.
	Line struct {
		Time   time.Time      `json:"time"`
		Host   string         `json:"host"`
		Text   string         `json:"text"`
		Event  int            `json:"event"`
		Fields map[string]any `json:"fields"`
	}

	// Timeline holds the log lines that explain the outcome of a request, sorted by time.
	Timeline struct {
		ID    string `json:"id"`
		Lines []Line `json:"lines"`
		// Unordered is set when lines of different hosts are closer in time than the clock skew.
		Unordered bool `json:"unordered"`
	}

	// Reason is a cause of failed requests and the number of requests that it affected.
	Reason struct {
		Code   int    `json:"code"`
		Reason string `json:"reason"`
		Detail string `json:"detail"`
		Count  int    `json:"count"`
		First  string `json:"first"` // ID of the first of these requests
	}
)

// Read returns the structured lines of a log and the number of other lines, which are skipped. Text before the JSON object in a
// line is ignored.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

func parse(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(b[i:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Line{}, false
	}
	l.Time = at
	l.Host, _ = fields["host"].(string)
	l.Text, _ = fields["msg"].(string)
	if n, ok := fields["event"].(float64); ok {
		l.Event = int(n)
	}
	for _, k := range []string{"time", "host", "msg", "event", "level"} {
		delete(fields, k)
	}
	return l, true
}

func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

func (l Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Find returns the lines with the ID of the request, and those about its hosts, upstreams and models around that time. The result
// is empty if no line has that ID.
func Find(lines []Line, id string) Timeline {
	s := Timeline{ID: id}
	var matched []Line
	for _, l := range lines {
		if l.text("id") == id {
			matched = append(matched, l)
		}
	}
	if len(matched) == 0 {
		return s
	}
	hosts, upstreams, models := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	from, to := matched[0].Time, matched[0].Time
	for _, l := range matched {
		hosts[l.Host], upstreams[l.text("upstream")], models[l.text("model")] = true, true, true
		if start := l.Time.Add(-time.Duration(l.number("tookMS")) * time.Millisecond); start.Before(from) {
			from = start
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	delete(upstreams, "")
	delete(models, "")
	s.Lines = matched
	for _, l := range lines {
		if l.Time.Before(from.Add(-contextWindow)) || l.Time.After(to.Add(contextWindow)) || l.text("id") == id {
			continue
		}
		if concerns(l, hosts, upstreams, models) {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i := 1; i < len(s.Lines); i++ {
		a, b := s.Lines[i-1], s.Lines[i]
		if a.Host != b.Host && b.Time.Sub(a.Time) < clockSkew {
			s.Unordered = true
		}
	}
	return s
}

// concerns reports whether a line without the ID of the request may explain its outcome.
func concerns(l Line, hosts, upstreams, models map[string]bool) bool {
	switch l.Event {
	case eventDependencyLost, eventDependencyBack, eventSuspended, eventStopping, eventConfig:
		return hosts[l.Host]
	case eventUpstream, eventUpstreamGone:
		return hosts[l.Host] && upstreams[l.text("upstream")]
	case eventOrder:
		return models[l.text("model")]
	case eventLease, eventLeaseLost:
		return len(models) > 0
	}
	return false
}

// Reasons returns the causes of failed requests, most frequent first.
func Reasons(lines []Line) []Reason {
	counts := make(map[string]*Reason)
	for _, l := range lines {
		if l.Event != eventFailed {
			continue
		}
		detail := maskNumbers(l.text("detail"))
		key := fmt.Sprint(l.number("code"), detail)
		r, ok := counts[key]
		if !ok {
			r = &Reason{Code: int(l.number("code")), Reason: l.text("reason"), Detail: detail, First: l.text("id")}
			counts[key] = r
		}
		r.Count++
	}
	list := make([]Reason, 0, len(counts))
	for _, r := range counts {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Detail, b.Detail))
	})
	return list
}

// maskNumbers replaces each number in a detail by N, so that failures that differ only in numbers are counted as one cause.
func maskNumbers(detail string) string {
	var b strings.Builder
	digit := false
	for _, c := range detail {
		if c >= '0' && c <= '9' {
			if !digit {
				b.WriteByte('N')
			}
			digit = true
			continue
		}
		digit = false
		b.WriteRune(c)
	}
	return b.String()
}

// Write writes the timeline as text, one line for each log line. Lines of the request itself are marked with an asterisk.
func (s Timeline) Write(w io.Writer) error {
	for _, l := range s.Lines {
		marker := " "
		if l.text("id") == s.ID {
			marker = "*"
		}
		var fields []string
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := l.Fields[k]; v != "" && k != "id" {
				fields = append(fields, fmt.Sprintf("%s=%v", k, v))
			}
		}
		if _, err := fmt.Fprintf(w, "%s %s %s [%d] %s: %s\n", marker, l.Time.Format("15:04:05.000"), l.Host, l.Event, l.Text, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	if s.Unordered {
		_, err := fmt.Fprintln(w, "Some lines of different hosts are closer in time than the clock skew; their order is uncertain.")
		return err
	}
	return nil
}
