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

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// command runs the command line and returns its output and the line that reports its error.
func command(args ...string) (out, report string, code codes.Code) {
	root := newRoot()
	var b bytes.Buffer
	root.SetOut(&b)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		e := codes.From(err)
		return b.String(), describe(e), e.Code()
	}
	return b.String(), "", codes.OK
}

func file(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "f.toml")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

// Guards against usage errors that end as internal errors, or with help and exit code 0.
func TestUsage(t *testing.T) {
	for line, hint := range map[string]string{
		"bogus":                      `unknown command "bogus" for "fireflycleat"; usage: fireflycleat [flags]`,
		"template bogus":             `unknown command "bogus" for "fireflycleat template"; usage: fireflycleat template`,
		"team bogus x":               `unknown command "bogus"`,
		"standin bogus":              `unknown command "bogus"`,
		"config bogus":               `unknown command "bogus"`,
		"completion bogus":           `unknown command "bogus"`,
		"help bogus":                 `unknown command "bogus"`,
		"help template bogus":        `unknown command "bogus"`,
		"template publish":           "accepts 1 arg(s), received 0; usage: fireflycleat template publish FILE",
		"template delete a b":        "accepts 1 arg(s), received 2; usage: fireflycleat template delete NAME",
		"ask m":                      "usage: fireflycleat ask MODEL TEXT",
		"status x":                   "usage: fireflycleat status",
		"serve":                      `required flag(s) "config" not set; usage: fireflycleat serve`,
		"status --nosuch":            "unknown flag: --nosuch; usage: fireflycleat status",
		"status --operator h:7003":   `--operator: must be an IP number and a port`,
		"ask m x --host localhost:1": `--host: must be an IP number and a port`,
	} {
		_, report, code := command(strings.Fields(line)...)
		qt.Check(t, code, qt.Equals, codes.BadArgument, qt.Commentf("%s: %s", line, report))
		qt.Check(t, code.ExitCode(), qt.Equals, 2, qt.Commentf("%s", line))
		qt.Check(t, report, qt.Contains, hint, qt.Commentf("%s", line))
	}
	for _, line := range []string{"", "template", "help template", "standin --help"} {
		out, report, _ := command(strings.Fields(line)...)
		qt.Check(t, report == "" && strings.Contains(out, "Usage:"), qt.IsTrue, qt.Commentf("%s: %s %s", line, out, report))
	}
}

// Guards against help that shows the environment as a default, or leaves out what a flag or stand-in can do.
func TestHelp(t *testing.T) {
	t.Setenv(operatorVariable, "192.0.2.9:1")
	for _, tc := range [][3]string{
		{"status --help", "(default FIREFLYCLEAT_OPERATOR, else 127.0.0.1:7003)", "192.0.2.9"},
		{"template publish --help", "negative for the present offset", "192.0.2.9"},
		{"standin --help", "/faults", "192.0.2.9"},
	} {
		out, _, _ := command(strings.Fields(tc[0])...)
		qt.Check(t, out, qt.Contains, tc[1])
		qt.Check(t, strings.Contains(out, tc[2]), qt.IsFalse, qt.Commentf("%s", tc[0]))
	}
	t.Setenv(operatorVariable, "name:1")
	_, report, _ := command("status")
	qt.Check(t, report, qt.Contains, operatorVariable+": must be an IP number")
}

// Guards against reports that leave out what the operator needs: the retry time, the flag at fault, what does not exist;
// and against titles that stand twice.
func TestReports(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/address":
			fmt.Fprintf(w, `{"addresses":[%q],"lifetimeSeconds":1}`, r.Host)
		case "/v1/templates", "/v1/teams":
			fmt.Fprint(w, "[]")
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"title":"capacity is exhausted","code":3001,"retryAfterSeconds":2.64,`+
				`"error":{"message":"capacity is exhausted","type":"notRun","code":"3001"}}`)
		}
	}))
	defer s.Close()
	address := s.Listener.Addr().String()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	dead := closed.Addr().String()
	_ = closed.Close()
	busy := file(t, fmt.Sprintf("[host]\nname = \"a\"\ndataCentre = \"b\"\n[listen]\ntraffic = \"127.0.0.1:1\"\npeers = %q\n"+
		"operator = \"127.0.0.1:2\"\n[platform]\nlog = %q\nhostList = %q\n", address, dead, dead))
	for _, tc := range []struct{ line, want string }{
		{"template delete nosuch --operator " + address, "error 2004: resource is unknown: template nosuch$"},
		{"team delete nosuch --operator " + address, "error 2004: resource is unknown: team nosuch$"},
		{"status --operator " + address, "error 3001: capacity is exhausted; retry after 2.6s$"},
		{"ask m x --host " + address, "error 3001: capacity is exhausted; retry after 2.6s$"},
		{"status --operator " + dead, "error 4005: peer is unavailable: --operator: .*refused"},
		{"ask m x --host " + dead, "error 4005: peer is unavailable: --host: .*refused"},
		{"serve --config " + busy, "error 1001: settings are invalid: listen.peers: .*address already in use"},
		{"standin log --listen " + address, "error 1002: argument is invalid: --listen: .*address already in use"},
		{"template publish " + file(t, `kind = "model"`), "name: is missing$"},
		{"template publish " + file(t, `name = "A"`), "name: must have 1 to 63 lower-case letters"},
		{"team set " + file(t, `name = "A"`), "name: must have 1 to 63 lower-case letters"},
		{"team set " + file(t, `name = "a"`+"\nurgency = \"asap\""), `urgency: must be "urgent", "normal" or "bulk"`},
		{"team set " + file(t, `name = "a"`+"\nmaxUrgency = 3"), `maxUrgency: must be "urgent"`},
	} {
		_, report, _ := command(strings.Fields(tc.line)...)
		qt.Check(t, report, qt.Matches, "fireflycleat: .*"+strings.TrimSuffix(tc.want, "$")+map[bool]string{false: ".*"}[strings.HasSuffix(tc.want, "$")],
			qt.Commentf("%s", tc.line))
	}
}

// Guards against a table of hosts whose headings name something else than the cells.
func TestHostsHeading(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "[]") }))
	defer s.Close()
	out, _, _ := command("hosts", "--operator", s.Listener.Addr().String())
	qt.Check(t, strings.Join(strings.Fields(out), " "), qt.Equals, "HOST DATA CENTRE OFFSET READY DRAINING SUSPECT AGE CALLERS")
}

// Guards against team files whose classes are numbers only, or that allow urgent requests because they say nothing.
func TestTeamUrgency(t *testing.T) {
	for text, want := range map[string][2]spec.Urgency{
		"":                                  {spec.Urgent, spec.Urgent},
		`urgency = "bulk"`:                  {spec.Bulk, spec.Bulk},
		`urgency = 1`:                       {spec.Normal, spec.Normal},
		"urgency = 2\nmaxUrgency = 0":       {spec.Bulk, spec.Urgent},
		`urgency="bulk"` + "\nmaxUrgency=1": {spec.Bulk, spec.Normal},
	} {
		team, err := readTeam(file(t, text))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, [2]spec.Urgency{team.Urgency, team.MaxUrgency}, qt.Equals, want, qt.Commentf("%s", text))
	}
}

// Guards against unknown memory shown as zero bytes, and against an engine without its cell.
func TestStatusRows(t *testing.T) {
	rows := statusRows(wire.Status{Upstreams: []wire.UpstreamReport{
		{Upstream: "e", Kind: string(wire.KindEngine), DataCentre: "galle"},
		{Upstream: "s", Kind: string(wire.KindService), DataCentre: "galle"},
		{Upstream: "f", Kind: string(wire.KindEngine), DataCentre: "galle", CapacityBytes: 9},
	}})
	text := fmt.Sprint(rows)
	for _, want := range []string{"DATA CENTRE CELL STATE", "[e engine galle galle  false false - -]", "[s service galle -  false", "false 0 9]"} {
		qt.Check(t, text, qt.Contains, want)
	}
}
