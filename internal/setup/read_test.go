package setup

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validSettings = `
[host]
name = "a-1"
dataCentre = "colombo"
[listen]
traffic = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
operator = "127.0.0.1:7003"
[platform]
log = "127.0.0.1:9001"
hostList = "127.0.0.1:9002"
`

// TestParse guards against a problem in the settings that is ignored, or reported without its line or key.
func TestParse(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"unknown key", "[platform]", "[platform]\nlogg = 1", "f.toml:10: platform.logg: is not a known key"},
		{"host name", `"127.0.0.1:9001"`, `"localhost:9001"`, "f.toml:10: platform.log: must be an IP address"},
		{"missing unit", "[platform]", "[platform]\nstatusInterval = \"5\"", "f.toml:10: platform.statusInterval: must be a duration"},
		{"impossible limit", "[platform]", "[store]\nslots = 0\n[platform]", "f.toml:10: store.slots: must be between"},
		{"memory", "[platform]", "[limits]\nmemory = \"64MiB\"\nrequestBytes = \"4MiB\"\n[platform]", "f.toml:10: limits.memory: must be between 134217728"},
		{"token", `"127.0.0.1:7003"`, `"10.0.0.1:7003"`, "f.toml:1: operator.token: is required"},
		{"advertised", "[platform]", "[advertise]\npeers = \"0.0.0.0:1\"\n[platform]", "f.toml:10: advertise.peers: must be an address that"},
		{"missing key", `log = "127.0.0.1:9001"`, "", "f.toml:9: platform.log: is missing"},
		{"missing name", `name = "a-1"`, "", "f.toml:2: host.name: is missing"},
		{"wrong type", `name = "a-1"`, "name = 3", "f.toml:3: host.name"},
		{"syntax", `name = "a-1"`, "name = ", "f.toml:3: "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, problems := Parse("f.toml", []byte(strings.Replace(validSettings, tc.old, tc.new, 1)))
			if tc.want == "" {
				qt.Assert(t, problems, qt.HasLen, 0)
				return
			}
			qt.Assert(t, AsError(problems), qt.ErrorMatches, "(?s).*"+tc.want+".*")
			qt.Assert(t, problems, qt.HasLen, 1, qt.Commentf("%v", problems))
		})
	}
}

// FuzzParse guards against a panic of the decoder or of locateKeys on malformed input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a.b = [[1]]\n[[x]]\ny = {z = 1}"))
	f.Fuzz(func(_ *testing.T, data []byte) { Parse("f", data) })
}
