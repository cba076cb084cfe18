package bench

import (
	"bytes"
	"embed"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	canvas "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	plotWidth   = 16 * vg.Centimeter
	plotHeight  = 8 * vg.Centimeter
	plotPoints  = 200 // points of a curve
	minRateStep = 1.0 // in seconds
	reportFile  = "index.html"
)

//go:embed report.html
var reportPage embed.FS

type (
	page struct {
		Seed     uint64
		Previous string
		Rows     []Row
		Sections []section
	}

	section struct {
		Deployment string
		Trace      string
		About      string
		Safety     Safety
		Plots      []template.HTML
	}
)

// Verdict returns "met" if the row meets its target, and "missed" if not.
func (r Row) Verdict() string { return r.verdictText() }

// Goal returns the target as text.
func (r Row) Goal() string { return r.targetText() }

// WriteReport writes the table of results and the plots of each trace as one HTML page to the directory.
func WriteReport(dir string, seed uint64, previous Figures, all []*Result) error {
	p := page{Seed: seed, Previous: previous.Version, Rows: Rows(all)}
	for _, r := range all {
		s := section{Deployment: r.Deployment.Name, Trace: r.Trace.Name, About: r.Trace.About, Safety: r.Safety}
		for _, draw := range []func(*Result) (*plot.Plot, error){firstTokenPlot, ratePlot} {
			svg, err := render(draw, r)
			if err != nil {
				return err
			}
			s.Plots = append(s.Plots, svg)
		}
		p.Sections = append(p.Sections, s)
	}
	t, err := template.New("report.html").Funcs(template.FuncMap{
		"figure": figureText, "short": short, "previous": previous.resultText,
	}).ParseFS(reportPage, "report.html")
	if err != nil {
		return codes.New(codes.Internal, err.Error())
	}
	var out bytes.Buffer
	if err := t.Execute(&out, p); err != nil {
		return codes.New(codes.Internal, err.Error())
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return codes.New(codes.BadArgument, err.Error())
	}
	if err := os.WriteFile(filepath.Join(dir, reportFile), out.Bytes(), 0o644); err != nil {
		return codes.New(codes.BadArgument, err.Error())
	}
	return nil
}

func render(draw func(*Result) (*plot.Plot, error), r *Result) (template.HTML, error) {
	p, err := draw(r)
	if err != nil {
		return "", codes.New(codes.Internal, err.Error())
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(canvas.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", codes.New(codes.Internal, err.Error())
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:] // An XML prolog is invalid inside an HTML page.
	}
	return template.HTML(text), nil // The plot contains only numbers and fixed labels, so the conversion is safe.
}

// firstTokenPlot plots the cumulative distribution of the first-token time of measured calls, for system and baseline.
func firstTokenPlot(r *Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "first token", "seconds", "share of calls"
	p.Y.Min, p.Y.Max = 0, 1
	for _, l := range r.lines() {
		s := &policyRuns{trace: r.Trace}
		times := s.firstTokenTimes(l.outcome, everyCall)
		slices.Sort(times)
		var points plotter.XYs
		for i := range plotPoints + 1 {
			if k := i * (len(times) - 1) / plotPoints; len(times) > 0 {
				points = append(points, plotter.XY{X: times[k].Seconds(), Y: float64(i) / plotPoints})
			}
		}
		if err := l.add(p, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// ratePlot plots the rate of calls that were served in time, by the time they were sent.
func ratePlot(r *Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "calls served in time", "seconds", "calls a second"
	step := max(minRateStep, r.Trace.Seconds/plotPoints)
	for _, l := range r.lines() {
		points := make(plotter.XYs, int(r.Trace.Seconds/step)+1)
		for i := range points {
			points[i].X = float64(i) * step
		}
		for _, c := range l.outcome.Calls {
			i := int(c.SentAt.Sub(epoch.Add(warmUpTime)).Seconds() / step)
			if c.inTime() && i < len(points) {
				points[i].Y += 1 / step
			}
		}
		if err := l.add(p, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

type plotLine struct {
	name    string
	color   color.Color
	outcome *Outcome
}

func (r *Result) lines() []plotLine {
	return []plotLine{
		{"system", color.RGBA{B: 180, A: 255}, r.System},
		{"baseline", color.RGBA{R: 200, A: 255}, r.Baseline},
	}
}

func (l plotLine) add(p *plot.Plot, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = l.color
	p.Add(line)
	p.Legend.Add(l.name, line)
	return nil
}
