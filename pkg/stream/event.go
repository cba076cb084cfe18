package stream

import (
	"bytes"
	"strings"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// MaxEvent limits the size of one event in bytes.
const MaxEvent = 1 << 20

var byteOrderMark = []byte("\xef\xbb\xbf")

type (
	// Event is a server-sent event.
	Event struct {
		Name string // Name is empty for the default type "message".
		ID   string
		Data string
	}

	// Decoder decodes server-sent events from pieces of any size.
	Decoder struct {
		line   []byte
		data   []string
		event  Event
		size   int
		begun  bool // begun tells that the first line was read.
		skipLF bool // skipLF tells that the last byte was a CR, which an LF may complete.
		err    error
	}
)

// Feed returns the events that the bytes complete. It fails with StreamBroken on an event above MaxEvent, for good.
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
			d.grow(p)
			break
		}
		d.grow(p[:n])
		d.skipLF = p[n] == '\r'
		p = p[n+1:]
		if d.err == nil && d.endLine() {
			events = append(events, d.dispatch())
		}
	}
	return events, d.err
}

// Partial reports whether bytes of an unfinished event are left, so that the stream ended in the middle of one.
func (d *Decoder) Partial() bool { return len(d.line) > 0 || len(d.data) > 0 }

func (d *Decoder) grow(p []byte) {
	if d.size += len(p); d.size > MaxEvent {
		d.err = codes.Newf(codes.StreamBroken, "event is longer than %d bytes", MaxEvent)
		return
	}
	d.line = append(d.line, p...)
}

// endLine applies a line and reports whether it ends an event that has data.
func (d *Decoder) endLine() bool {
	line := d.line
	if !d.begun {
		line = bytes.TrimPrefix(line, byteOrderMark)
		d.begun = true
	}
	d.size++ // Empty fields count too, so that they cannot grow without bound.
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

func (d *Decoder) dispatch() Event {
	e := d.event
	e.Data = strings.Join(d.data, "\n")
	d.event, d.data, d.size = Event{}, nil, 0
	return e
}

// AppendEvent appends the encoding of an event to dst. A name or ID with a line break is cut there.
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
