package bench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// WriteTable writes the target, result, previous result, baseline and bound of each measure, followed by the number of
// calls, loads and safety violations of each trace.
func WriteTable(out io.Writer, previous Figures, all []*Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "deployment\ttrace\tmeasure\ttarget\tresult\tprevious\tbaseline\tbound\t\tfrom")
	for _, r := range Rows(all) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s / %s\n", r.Deployment, r.Trace, r.Measure, r.targetText(), figureText(r.Result),
			previous.resultText(r), figureText(r.Baseline), figureText(r.Bound), r.verdictText(), short(r.Over), short(r.Under))
	}
	fmt.Fprintln(w, "\t\t\t\t\t\t\t\t")
	fmt.Fprintln(w, "deployment\ttrace\tcalls\tloads\tviolations: permits\tmemory\tends\t")
	for _, r := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", r.Deployment.Name, r.Trace.Name, len(r.System.Calls), r.System.Loads,
			r.Safety.Permits, r.Safety.Memory, r.Safety.Ends)
	}
	return w.Flush()
}

// figureText formats a figure with three decimals, NaN (no case) as "none" and infinity as "unserved".
func figureText(x float64) string {
	if math.IsInf(x, 1) {
		return "unserved"
	}
	if math.IsNaN(x) {
		return "none"
	}
	return fmt.Sprintf("%.3f", x)
}

// short formats a figure with four significant digits.
func short(x float64) string { return fmt.Sprintf("%.4g", x) }

func (r Row) targetText() string {
	if r.AtMost {
		return fmt.Sprintf("<= %.2f", r.Target)
	}
	return fmt.Sprintf(">= %.2f", r.Target)
}

func (r Row) verdictText() string {
	if r.Met() {
		return "met"
	}
	return "missed"
}
