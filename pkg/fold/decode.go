package fold

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

type (
	// layout lists the JSON fields of a struct type.
	layout struct {
		fields   map[string]reflect.Type
		required []string
	}

	// strict walks over a document that json.Unmarshal has accepted. It finds what encoding/json lets pass: fields that
	// are missing, null or repeated, and names in another case, which encoding/json would take for the field.
	strict struct {
		dec *json.Decoder
	}
)

var layouts = layoutsOf(reflect.TypeFor[Record](), map[reflect.Type]layout{})

// Decode returns the record in data, or a BadRecord error that names the field at fault.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := unmarshal(data, &r); err != nil {
		return Record{}, err
	}
	return r, r.check()
}

func unmarshal(data []byte, r *Record) error {
	if len(data) > MaxRecordBytes {
		return bad("record", "is larger than 256 KiB")
	}
	if err := json.Unmarshal(data, r); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return bad(wrong.Field, "has the wrong type "+wrong.Value)
		}
		return bad("record", err.Error())
	}
	s := strict{dec: json.NewDecoder(bytes.NewReader(data))}
	return s.value(reflect.TypeFor[Record](), "")
}

func (s strict) value(t reflect.Type, path string) error {
	tok, err := s.dec.Token()
	if err != nil {
		return bad(name(path), err.Error())
	}
	if tok == nil && t.Kind() != reflect.Slice {
		return bad(name(path), "must not be null")
	}
	switch tok {
	case json.Delim('{'):
		return s.object(t, path)
	case json.Delim('['):
		for s.dec.More() {
			if err := s.value(t.Elem(), path); err != nil {
				return err
			}
		}
		_, err = s.dec.Token()
	}
	if err != nil {
		return bad(name(path), err.Error())
	}
	return nil
}

func (s strict) object(t reflect.Type, path string) error {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	l := layouts[t]
	seen := make(map[string]bool, len(l.fields))
	for s.dec.More() {
		tok, err := s.dec.Token()
		if err != nil {
			return bad(name(path), err.Error())
		}
		key, _ := tok.(string)
		field, ok := l.fields[key]
		if !ok || seen[key] {
			return bad(name(join(path, key)), "is unknown or repeated")
		}
		seen[key] = true
		if err := s.value(field, join(path, key)); err != nil {
			return err
		}
	}
	for _, key := range l.required {
		if !seen[key] {
			return bad(join(path, key), "is missing")
		}
	}
	if _, err := s.dec.Token(); err != nil {
		return bad(name(path), err.Error())
	}
	return nil
}

func layoutsOf(t reflect.Type, known map[reflect.Type]layout) map[reflect.Type]layout {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if _, ok := known[t]; ok || t.Kind() != reflect.Struct {
		return known
	}
	l := layout{fields: make(map[string]reflect.Type)}
	known[t] = l
	for f := range t.Fields() {
		key, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		l.fields[key] = f.Type
		if options == "" {
			l.required = append(l.required, key)
		}
		layoutsOf(f.Type, known)
	}
	known[t] = l
	return known
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func name(path string) string {
	if path == "" {
		return "record"
	}
	return path
}
