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
	// Problem is an error in a settings file, with its line and key.
	Problem struct {
		file   string
		line   int
		key    string
		detail string
	}

	keyLines map[string]int
)

// String returns the problem in the form "file:line: key: detail".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.key, p.detail)
}

// Read reads and validates the settings file. The settings must not be used if there is any problem.
func Read(file string) (Settings, []Problem) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Problem{{file, 0, "-", err.Error()}}
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. The problems name the given file. The settings must not be used if there is any problem.
func Parse(file string, data []byte) (Settings, []Problem) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(&s)
	problems := decodeProblems(file, err)
	// The decoder stops at a syntax error or a type mismatch, so the check would report the keys after it as missing.
	if decodeErr := new(toml.DecodeError); errors.As(err, &decodeErr) {
		return s, problems
	}
	lines := locateKeys(data)
	for _, p := range s.check() {
		p.file = file
		p.line = lines.lineOf(p.key)
		problems = append(problems, p)
	}
	return s, problems
}

// AsError returns a BadSettings error that lists the problems, or nil if there are none.
func AsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.String()
	}
	return codes.New(codes.BadSettings, "\n"+strings.Join(texts, "\n"))
}

func decodeProblems(file string, err error) []Problem {
	var strictErr *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strictErr):
		var problems []Problem
		for _, e := range strictErr.Errors {
			row, _ := e.Position()
			problems = append(problems, Problem{file, row, strings.Join(e.Key(), "."), "is not a known key"})
		}
		return problems
	case errors.As(err, &decodeErr):
		row, _ := decodeErr.Position()
		return []Problem{{file, row, strings.Join(decodeErr.Key(), "."), decodeErr.Error()}}
	}
	return []Problem{{file, 0, "-", err.Error()}}
}

// locateKeys maps each key and table of the document to its line, for problems that are detected after decoding.
func locateKeys(data []byte) keyLines {
	lines := make(keyLines)
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
			lines[table] = line
		case unstable.KeyValue:
			lines[strings.TrimPrefix(table+"."+key, ".")] = line
		}
	}
	return lines
}

// lineOf returns the line of the key, or of the innermost table above it that the document has, or 1.
func (l keyLines) lineOf(key string) int {
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
