package scene

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fireflycleat/fireflycleat/internal/cmds"
)

var (
	runsPerScenario = flag.Int("scene.runs", 1, "number of runs of each scenario")
	scenarioDir     = flag.String("scene.dir", "testdata", "directory of the scenarios")
	table           results
)

type (
	// results counts runs and violations by rule and failure over all scenarios.
	results struct {
		mu   sync.Mutex
		rows map[[2]string]*result
	}

	result struct {
		runs       int
		violations int
	}
)

func TestMain(m *testing.M) {
	testscript.Main(tablePrinter{m}, map[string]func(){
		"fireflycleat": func() { os.Exit(cmds.Main(os.Args[1:])) },
	})
}

// tablePrinter runs the tests and then prints the table of results.
type tablePrinter struct{ m *testing.M }

// Run implements testscript.TestingM.
func (p tablePrinter) Run() int {
	code := p.m.Run()
	table.print()
	return code
}

// TestScenarios runs every script with its own processes. A script names the rules and failures that it tests in lines
// "rule NAME FAILURE".
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(*scenarioDir, "*.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for range *runsPerScenario {
		testscript.Run(t, testscript.Params{
			Files: files,
			Cmds:  commands,
			Setup: func(e *testscript.Env) error {
				sc := newScenario(e)
				e.Values[scenarioKey{}] = sc
				e.Defer(sc.close)
				return nil
			},
		})
	}
}

func (r *results) add(rule, failure string, violated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = make(map[[2]string]*result)
	}
	key := [2]string{rule, failure}
	if r.rows[key] == nil {
		r.rows[key] = &result{}
	}
	r.rows[key].runs++
	if violated {
		r.rows[key].violations++
	}
}

func (r *results) print() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rows) == 0 {
		return
	}
	keys := make([][2]string, 0, len(r.rows))
	for k := range r.rows {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return strings.Compare(a[0]+a[1], b[0]+b[1]) })
	fmt.Printf("%-34s %-58s %5s %10s\n", "rule", "failure", "runs", "violations")
	for _, k := range keys {
		fmt.Printf("%-34s %-58s %5d %10d\n", k[0], k[1], r.rows[k].runs, r.rows[k].violations)
	}
}
