package stream

import (
	"bytes"
	"strings"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// MaxEvent is the maximum size of an event in bytes.
const MaxEvent = 1 << 20

var byteOrderMark = []byte("\xef\xbb\xbf")

type (
	// Event is a server-sent event.
	Event struct {
		Name string // empty for the default type "message"
		ID   string
		Data string
	}

	// Decoder decodes server-sent events from input that arrives in pieces of any size.
	Decoder struct {
		line    []byte
		data    []string
		event   Event
		size    int
		started bool // set after the first line, which may start with a byte order mark
		skipLF  bool // set when the last byte was a CR, so that a following LF belongs to the same line end
		err     error
	}
)

// Feed decodes more input and returns the events that it completes. An event larger than MaxEvent gives a StreamBroken
// error, which later calls return as well.
func (d *Decoder) Feed(p []byte) ([]Event, error) {
	var events []Event
	for len(p) > 0 && d.err == nil {
		if d.skipLF && p[0] == '\n' {
			p, d.skipLF = p[1:], false
			continue
		}
		d.skipLF = false
		n := bytes.IndexAny(p, "\r\n")
		if n < 0 {
			d.appendLine(p)
			break
		}
		d.appendLine(p[:n])
		d.skipLF = p[n] == '\r'
		p = p[n+1:]
		if d.err == nil && d.endLine() {
			events = append(events, d.dispatch())
		}
	}
	return events, d.err
}

// Partial reports whether the input so far ends within an event.
func (d *Decoder) Partial() bool { return len(d.line) > 0 || len(d.data) > 0 }

func (d *Decoder) appendLine(p []byte) {
	if d.size += len(p); d.size > MaxEvent {
		d.err = codes.Newf(codes.StreamBroken, "event is longer than %d bytes", MaxEvent)
		return
	}
	d.line = append(d.line, p...)
}

// endLine processes a complete line and reports whether it completes an event with data.
func (d *Decoder) endLine() bool {
	line := d.line
	if !d.started {
		line = bytes.TrimPrefix(line, byteOrderMark)
		d.started = true
	}
	d.size++ // The line end counts too, so that empty fields cannot grow without bound.
	field, value, _ := strings.Cut(string(line), ":")
	blank := len(line) == 0
	d.line = d.line[:0]
	if blank {
		if len(d.data) > 0 {
			return true
		}
		d.dispatch()
		return false
	}
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "data":
		d.data = append(d.data, value)
	case "event":
		d.event.Name = value
	case "id":
		d.event.ID = value
	}
	return false
}

// dispatch returns the current event and resets the decoder for the next one.
func (d *Decoder) dispatch() Event {
	e := d.event
	e.Data = strings.Join(d.data, "\n")
	d.event, d.data, d.size = Event{}, nil, 0
	return e
}

// AppendEvent appends the encoding of an event to dst. A name or ID is truncated at the first line break.
func AppendEvent(dst []byte, e Event) []byte {
	field := func(name, value string) {
		dst = append(append(append(append(dst, name...), ": "...), value...), '\n')
	}
	if e.Name != "" {
		field("event", firstLine(e.Name))
	}
	if e.ID != "" {
		field("id", firstLine(e.ID))
	}
	for line := range strings.SplitSeq(lineBreaks.Replace(e.Data), "\n") {
		field("data", line)
	}
	return append(dst, '\n')
}

var lineBreaks = strings.NewReplacer("\r\n", "\n", "\r", "\n")

func firstLine(s string) string {
	if n := strings.IndexAny(s, "\r\n"); n >= 0 {
		return s[:n]
	}
	return s
}
