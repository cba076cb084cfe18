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
	// Figures holds the recorded results of a run, by deployment, trace and measure. A run depends only on version and seed,
	// so the figures recorded for an earlier version are those that a new run of that version would give.
	Figures struct {
		Seed    uint64            `json:"seed"`
		Version string            `json:"version"`
		Results map[string]string `json:"results"`
	}
)

// NewFigures returns the figures of the results; version identifies the source that produced them.
func NewFigures(seed uint64, version string, all []*Result) Figures {
	f := Figures{Seed: seed, Version: version, Results: make(map[string]string)}
	for _, r := range Rows(all) {
		f.Results[r.key()] = figureText(r.Result)
	}
	return f
}

// PreviousFigures returns the embedded figures of the previous version for the seed, without results if none were
// recorded.
func PreviousFigures(seed uint64) (Figures, error) {
	data, err := previousFiles.ReadFile(fmt.Sprintf("previous/seed%d.json", seed))
	if err != nil {
		return Figures{Seed: seed}, nil
	}
	return decodeFigures(data)
}

// ReadFigures reads figures from a file; it returns BadArgument if the file is unreadable or invalid.
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

// Write writes the figures to a file; it returns BadArgument if the file can't be written.
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

// resultText returns the recorded result of the row, or "none" if there is none.
func (f Figures) resultText(r Row) string {
	if x, ok := f.Results[r.key()]; ok {
		return x
	}
	return "none"
}

func (r Row) key() string { return r.Deployment + "/" + r.Trace + "/" + r.Measure }
