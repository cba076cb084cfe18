package codes

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPage guards against numbers, titles, outcomes, statuses or exit codes that differ from the published documentation.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/codes.md")
	qt.Assert(t, err, qt.IsNil)
	var got, want []string
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+ \|.*) \|[^|]+\|$`).FindAllStringSubmatch(string(page), -1) {
		got = append(got, row[1])
	}
	for _, c := range All() {
		want = append(want, fmt.Sprintf("%d | %s | %s | %d | %d", c, c.Title(), c.Outcome(), c.HTTPStatus(), c.ExitCode()))
	}
	qt.Assert(t, strings.Join(got, "\n"), qt.Equals, strings.Join(want, "\n"))
}
