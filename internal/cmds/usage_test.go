package cmds

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// runCommand runs a command line and returns its output and its error line.
func runCommand(line string) (out, report string) {
	root := newRoot()
	var b bytes.Buffer
	root.SetOut(&b)
	root.SetArgs(strings.Fields(line))
	if err := root.Execute(); err != nil {
		report = errorLine(codes.From(err))
	}
	return b.String(), report
}

// writeTempTOML writes the text to a temporary file and returns its name.
func writeTempTOML(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "f.toml")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

// fakeDaemon serves the callers' and the operators' API of a daemon without configuration. All paths not listed fail with code
// 3001.
func fakeDaemon(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := map[string]string{
			"/v1/address": `{"addresses":["` + r.Host + `"]}`, "/v1/templates": "[]", "/v1/teams": "[]", "/v1/hosts": "[]",
			"/v1/status": `{"upstreams":[{"upstream":"e","kind":"engine","dataCentre":"galle"},{"upstream":"s","kind":"service","dataCentre":"galle"},
				{"upstream":"f","kind":"engine","dataCentre":"galle","capacityBytes":9}]}`,
		}[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			body = `{"code":3001,"retryAfterSeconds":2.64,"error":{"message":"capacity is exhausted","type":"notRun","code":"3001"}}`
		}
		fmt.Fprint(w, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestErrorMessages guards against usage errors that are reported as internal errors, or print help and exit with code 0;
// against error messages without the retry time, the flag or setting at fault, or the name that does not exist; and against
// repeated titles of codes.
func TestErrorMessages(t *testing.T) {
	address := fakeDaemon(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closedAddress := l.Addr().String()
	_ = l.Close()
	busySettings := writeTempTOML(t, fmt.Sprintf("[host]\nname = \"a\"\ndataCentre = \"b\"\n[listen]\ntraffic = \"127.0.0.1:1\"\npeers = %q\n"+
		"operator = \"127.0.0.1:2\"\n[platform]\nlog = %q\nhostList = %q\n", address, closedAddress, closedAddress))
	qt.Check(t, codes.BadArgument.ExitCode(), qt.Equals, 2)
	for line, want := range map[string]string{
		"bogus":                      `1002: argument is invalid: unknown command "bogus" for "fireflycleat"; usage: fireflycleat .*`,
		"template bogus":             `1002: .*: unknown command "bogus" for "fireflycleat template"; usage: fireflycleat template .*`,
		"team bogus x":               `1002: .*: unknown command "bogus".*`,
		"standin bogus":              `1002: .*: unknown command "bogus".*`,
		"config bogus":               `1002: .*: unknown command "bogus".*`,
		"completion bogus":           `1002: .*: unknown command "bogus".*`,
		"help bogus":                 `1002: .*: unknown command "bogus".*`,
		"help template bogus":        `1002: .*: unknown command "bogus".*`,
		"template publish":           `1002: .*: accepts 1 arg\(s\), received 0; usage: fireflycleat template publish FILE.*`,
		"template delete a b":        `1002: .*: accepts 1 arg\(s\), received 2; usage: fireflycleat template delete NAME.*`,
		"ask m":                      `1002: .*; usage: fireflycleat ask MODEL TEXT.*`,
		"status x":                   `1002: .*; usage: fireflycleat status.*`,
		"serve":                      `1002: .*: required flag\(s\) "config" not set; usage: fireflycleat serve.*`,
		"status --nosuch":            `1002: .*: unknown flag: --nosuch; usage: fireflycleat status.*`,
		"status --operator h:7003":   `1002: .*: --operator: must be an IP number and a port.*`,
		"ask m x --host localhost:1": `1002: .*: --host: must be an IP number and a port.*`,

		"template delete nosuch --operator " + address: `2004: resource is unknown: template nosuch`,
		"team delete nosuch --operator " + address:     `2004: resource is unknown: team nosuch`,
		"decisions --operator " + address:              `3001: capacity is exhausted; retry after 2.6s`,
		"ask m x --host " + address:                    `3001: capacity is exhausted; retry after 2.6s`,
		"status --operator " + closedAddress:           `4005: peer is unavailable: --operator: .*refused`,
		"ask m x --host " + closedAddress:              `4005: peer is unavailable: --host: .*refused`,
		"serve --config " + busySettings:               `1001: settings are invalid: listen.peers: .*address already in use`,
		"standin log --listen " + address:              `1002: argument is invalid: --listen: .*address already in use`,

		"template publish " + writeTempTOML(t, `kind = "model"`):              `1003: .*: name: is missing`,
		"template publish " + writeTempTOML(t, `name = "A"`):                  `1003: .*: name: must have 1 to 63 lower-case letters.*`,
		"team set " + writeTempTOML(t, `name = "A"`):                          `1003: .*: name: must have 1 to 63 lower-case letters.*`,
		"team set " + writeTempTOML(t, "name = \"a\"\nurgency = \"asap\""):    `1003: .*: urgency: must be "urgent", "normal" or "bulk".*`,
		"team set " + writeTempTOML(t, "name = \"a\"\nmaxUrgency = 3"):        `1003: .*: maxUrgency: must be "urgent", "normal" or "bulk".*`,
		"team set " + writeTempTOML(t, "name = \"a\"\nurgency = 99999999999"): `1003: .*: urgency: must be "urgent", "normal" or "bulk".*`,
	} {
		_, report := runCommand(line)
		qt.Check(t, report, qt.Matches, "fireflycleat: error "+want, qt.Commentf("%s", line))
	}
}

// TestOutput guards against help that shows the value of an environment variable as a default or omits what a flag or stand-in
// can do, command groups without help, headings that do not match their columns, unknown memory shown as zero, and engines
// without a cell.
func TestOutput(t *testing.T) {
	address := fakeDaemon(t)
	t.Setenv(operatorEnv, address)
	for line, want := range map[string]string{
		"":                        "Usage:",
		"template":                "Usage:",
		"help template":           "Usage:",
		"status --help":           "(default FIREFLYCLEAT_OPERATOR, else 127.0.0.1:7003)",
		"template publish --help": "negative for the current offset",
		"standin --help":          "/faults",
		"hosts":                   "HOST DATA CENTRE OFFSET READY DRAINING SUSPECT AGE CALLERS",
		"status": "DATA CENTRE CELL STATE LEAVING FENCED USED BYTES CAPACITY BYTES " +
			"e engine galle galle false false - - s service galle - false false - - f engine galle galle false false 0 9",
	} {
		out, report := runCommand(line)
		qt.Check(t, strings.Join(strings.Fields(out), " "), qt.Contains, want, qt.Commentf("%s: %s", line, report))
		qt.Check(t, strings.Contains(out, address), qt.IsFalse, qt.Commentf("%s: %s", line, out))
	}
	t.Setenv(operatorEnv, "name:1")
	_, report := runCommand("status")
	qt.Check(t, report, qt.Contains, operatorEnv+": must be an IP number")
}

// TestTeamUrgency guards against team files that accept only numbers as urgency classes, or allow urgent requests when
// maxUrgency is missing.
func TestTeamUrgency(t *testing.T) {
	for text, want := range map[string][2]spec.Urgency{
		"":                                  {spec.Urgent, spec.Urgent},
		`urgency = "bulk"`:                  {spec.Bulk, spec.Bulk},
		`urgency = 1`:                       {spec.Normal, spec.Normal},
		"urgency = 2\nmaxUrgency = 0":       {spec.Bulk, spec.Urgent},
		`urgency="bulk"` + "\nmaxUrgency=1": {spec.Bulk, spec.Normal},
	} {
		team, err := readTeam(writeTempTOML(t, text))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, [2]spec.Urgency{team.Urgency, team.MaxUrgency}, qt.Equals, want, qt.Commentf("%s", text))
	}
}
