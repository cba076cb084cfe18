package trail

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
	// around is how long before and after a request the state of its host, upstream and model is told.
	around = 3 * time.Second
	// clockSlack is the difference between the clocks of hosts below which the order of their lines is not known.
	clockSlack = 50 * time.Millisecond
)

// The events that concern more than one request; internal/node numbers them.
const (
	eventLost         = 104
	eventBack         = 105
	eventSuspended    = 106
	eventStopping     = 101
	eventFailed       = 201
	eventConfig       = 300
	eventUpstream     = 302
	eventUpstreamGone = 303
	eventLease        = 400
	eventLeaseLost    = 401
	eventOrder        = 402
)

type (
	// Line is one line of a log.
	Line struct {
		Time   time.Time      `json:"time"`
		Host   string         `json:"host"`
		Text   string         `json:"text"`
		Event  int            `json:"event"`
		Fields map[string]any `json:"fields"`
	}

	// Story is what the logs say about a request.
	Story struct {
		ID    string `json:"id"`
		Lines []Line `json:"lines"`
		// Unordered tells that lines of different hosts are closer than their clocks may differ.
		Unordered bool `json:"unordered"`
	}

	// Reason is a cause of failed requests with its count.
	Reason struct {
		Code   int    `json:"code"`
		Reason string `json:"reason"`
		Detail string `json:"detail"`
		Count  int    `json:"count"`
		First  string `json:"first"` // First is the id of the first request that failed for it.
	}
)

// Read returns the lines of a log and the number of lines that are no structured ones. Text before the object is passed over.
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

// Find returns the lines that name the request, with those about its host, its upstream and its model around that time.
func Find(lines []Line, id string) Story {
	s := Story{ID: id}
	var own []Line
	for _, l := range lines {
		if l.text("id") == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return s
	}
	hosts, upstreams, models := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	from, to := own[0].Time, own[0].Time
	for _, l := range own {
		hosts[l.Host], upstreams[l.text("upstream")], models[l.text("model")] = true, true, true
		if begun := l.Time.Add(-time.Duration(l.number("tookMS")) * time.Millisecond); begun.Before(from) {
			from = begun
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	delete(upstreams, "")
	delete(models, "")
	s.Lines = own
	for _, l := range lines {
		if l.Time.Before(from.Add(-around)) || l.Time.After(to.Add(around)) || l.text("id") == id {
			continue
		}
		if concerns(l, hosts, upstreams, models) {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i := 1; i < len(s.Lines); i++ {
		a, b := s.Lines[i-1], s.Lines[i]
		if a.Host != b.Host && b.Time.Sub(a.Time) < clockSlack {
			s.Unordered = true
		}
	}
	return s
}

// concerns reports whether a line that does not name the request may explain its end.
func concerns(l Line, hosts, upstreams, models map[string]bool) bool {
	switch l.Event {
	case eventLost, eventBack, eventSuspended, eventStopping, eventConfig:
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

// Reasons returns the causes of failed requests, the most frequent first.
func Reasons(lines []Line) []Reason {
	counts := make(map[string]*Reason)
	for _, l := range lines {
		if l.Event != eventFailed {
			continue
		}
		detail := general(l.text("detail"))
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

// general replaces the numbers in a detail, so that like causes count together.
func general(detail string) string {
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

// Write writes the story as text, a line for each.
func (s Story) Write(w io.Writer) error {
	for _, l := range s.Lines {
		mark := " "
		if l.text("id") == s.ID {
			mark = "*"
		}
		var fields []string
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := l.Fields[k]; v != "" && k != "id" {
				fields = append(fields, fmt.Sprintf("%s=%v", k, v))
			}
		}
		if _, err := fmt.Fprintf(w, "%s %s %s [%d] %s: %s\n", mark, l.Time.Format("15:04:05.000"), l.Host, l.Event, l.Text, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	if s.Unordered {
		_, err := fmt.Fprintln(w, "Lines of different hosts are closer than their clocks may differ; their order is not certain.")
		return err
	}
	return nil
}
