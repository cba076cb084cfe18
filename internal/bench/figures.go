package bench

import (
	"embed"
	"encoding/json"
	"fmt"
	"os"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

//go:embed previous/*.json
var previousFiles embed.FS

type (
	// Figures are the recorded results of a run, by deployment, trace and measure. A run depends on version and seed alone,
	// so the record of an earlier version says what running it again would say.
	Figures struct {
		Seed    uint64            `json:"seed"`
		Version string            `json:"version"`
		Results map[string]string `json:"results"`
	}
)

// NewFigures returns the record of the results; the version names the source that gave them.
func NewFigures(seed uint64, version string, all []*Result) Figures {
	f := Figures{Seed: seed, Version: version, Results: make(map[string]string)}
	for _, r := range Rows(all) {
		f.Results[r.key()] = figureText(r.Result)
	}
	return f
}

// PreviousFigures returns the record of the previous version that the program carries for the seed, which is empty where
// none was recorded.
func PreviousFigures(seed uint64) (Figures, error) {
	data, err := previousFiles.ReadFile(fmt.Sprintf("previous/seed%d.json", seed))
	if err != nil {
		return Figures{Seed: seed}, nil
	}
	return decodeFigures(data)
}

// ReadFigures returns the record in the file, or BadArgument.
func ReadFigures(file string) (Figures, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Figures{}, codes.New(codes.BadArgument, err.Error())
	}
	return decodeFigures(data)
}

func decodeFigures(data []byte) (Figures, error) {
	var f Figures
	if err := json.Unmarshal(data, &f); err != nil {
		return Figures{}, codes.New(codes.BadArgument, "figures cannot be read: "+err.Error())
	}
	return f, nil
}

// Write writes the record to the file, or returns BadArgument.
func (f Figures) Write(file string) error {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return codes.New(codes.Internal, err.Error())
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return codes.New(codes.BadArgument, err.Error())
	}
	return nil
}

// of returns the recorded result of the row as text.
func (f Figures) of(r Row) string {
	if x, ok := f.Results[r.key()]; ok {
		return x
	}
	return "none"
}

func (r Row) key() string { return r.Deployment + "/" + r.Trace + "/" + r.Measure }
