package setup

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

type (
	// Fault is one fault of a settings file.
	Fault struct {
		file   string
		line   int
		key    string
		detail string
	}

	lines map[string]int
)

// String returns the fault as file:line: key: detail.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.key, f.detail)
}

// Read returns the settings of the file, or every fault found in it.
func Read(file string) (Settings, []Fault) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Fault{{file, 0, "-", err.Error()}}
	}
	return Parse(file, data)
}

// Parse returns the settings in the data, or every fault found in it; file names the source in faults.
func Parse(file string, data []byte) (Settings, []Fault) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(&s)
	faults := decodeFaults(file, err)
	// The decoder stops at a syntax error or a wrong type: the keys after it would be reported as missing.
	if syntax := new(toml.DecodeError); errors.As(err, &syntax) {
		return s, faults
	}
	at := locate(data)
	for _, f := range s.check() {
		f.file = file
		f.line = at.find(f.key)
		faults = append(faults, f)
	}
	return s, faults
}

// AsError returns a BadSettings error that lists the faults, or nil when there are none.
func AsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	texts := make([]string, len(faults))
	for i, f := range faults {
		texts[i] = f.String()
	}
	return codes.New(codes.BadSettings, "\n"+strings.Join(texts, "\n"))
}

func decodeFaults(file string, err error) []Fault {
	var missing *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		var faults []Fault
		for _, e := range missing.Errors {
			row, _ := e.Position()
			faults = append(faults, Fault{file, row, strings.Join(e.Key(), "."), "is not a known key"})
		}
		return faults
	case errors.As(err, &syntax):
		row, _ := syntax.Position()
		return []Fault{{file, row, strings.Join(syntax.Key(), "."), syntax.Error()}}
	}
	return []Fault{{file, 0, "-", err.Error()}}
}

// locate maps each key and table of the document to its line, so that faults found after decoding can name it.
func locate(data []byte) lines {
	at := make(lines)
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		key := joinKey(e.Key())
		line := p.Shape(firstKey(e).Raw).Start.Line
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key
			at[table] = line
		case unstable.KeyValue:
			at[strings.TrimPrefix(table+"."+key, ".")] = line
		}
	}
	return at
}

// find returns the line of the key, else that of its table, else 1.
func (l lines) find(key string) int {
	for {
		if line, ok := l[key]; ok {
			return line
		}
		i := strings.LastIndex(key, ".")
		if i < 0 {
			return 1
		}
		key = key[:i]
	}
}

func joinKey(it unstable.Iterator) string {
	var parts []string
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func firstKey(n *unstable.Node) *unstable.Node {
	it := n.Key()
	it.Next()
	return it.Node()
}
