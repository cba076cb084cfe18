package fold

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

type (
	// structLayout holds the JSON fields of a struct type.
	structLayout struct {
		fields   map[string]reflect.Type
		required []string
	}

	// strictChecker checks a document that json.Unmarshal has accepted for faults that encoding/json ignores: fields that are
	// missing, null or repeated, and names in a different case, which encoding/json matches to the field.
	strictChecker struct {
		decoder *json.Decoder
	}
)

var layouts = addLayouts(reflect.TypeFor[Record](), map[reflect.Type]structLayout{})

// Decode returns the record in data, or a BadRecord error that names the invalid field.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := decodeStrict(data, &r); err != nil {
		return Record{}, err
	}
	return r, r.check()
}

func decodeStrict(data []byte, r *Record) error {
	if len(data) > MaxRecordBytes {
		return badRecord("record", "is larger than 256 KiB")
	}
	if err := json.Unmarshal(data, r); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return badRecord(typeErr.Field, "has the wrong type: "+typeErr.Value)
		}
		return badRecord("record", err.Error())
	}
	s := strictChecker{decoder: json.NewDecoder(bytes.NewReader(data))}
	return s.checkValue(reflect.TypeFor[Record](), "")
}

func (s strictChecker) checkValue(t reflect.Type, path string) error {
	tok, err := s.decoder.Token()
	if err != nil {
		return badRecord(pathOrRecord(path), err.Error())
	}
	if tok == nil && t.Kind() != reflect.Slice {
		return badRecord(pathOrRecord(path), "must not be null")
	}
	switch tok {
	case json.Delim('{'):
		return s.checkObject(t, path)
	case json.Delim('['):
		for s.decoder.More() {
			if err := s.checkValue(t.Elem(), path); err != nil {
				return err
			}
		}
		_, err = s.decoder.Token()
	}
	if err != nil {
		return badRecord(pathOrRecord(path), err.Error())
	}
	return nil
}

func (s strictChecker) checkObject(t reflect.Type, path string) error {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	l := layouts[t]
	seen := make(map[string]bool, len(l.fields))
	for s.decoder.More() {
		tok, err := s.decoder.Token()
		if err != nil {
			return badRecord(pathOrRecord(path), err.Error())
		}
		key, _ := tok.(string)
		field, ok := l.fields[key]
		if !ok || seen[key] {
			return badRecord(pathOrRecord(joinPath(path, key)), "is unknown or repeated")
		}
		seen[key] = true
		if err := s.checkValue(field, joinPath(path, key)); err != nil {
			return err
		}
	}
	for _, key := range l.required {
		if !seen[key] {
			return badRecord(joinPath(path, key), "is missing")
		}
	}
	if _, err := s.decoder.Token(); err != nil {
		return badRecord(pathOrRecord(path), err.Error())
	}
	return nil
}

func addLayouts(t reflect.Type, known map[reflect.Type]structLayout) map[reflect.Type]structLayout {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if _, ok := known[t]; ok || t.Kind() != reflect.Struct {
		return known
	}
	l := structLayout{fields: make(map[string]reflect.Type)}
	known[t] = l
	for f := range t.Fields() {
		key, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		l.fields[key] = f.Type
		if options == "" {
			l.required = append(l.required, key)
		}
		addLayouts(f.Type, known)
	}
	known[t] = l
	return known
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func pathOrRecord(path string) string {
	if path == "" {
		return "record"
	}
	return path
}
