package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

func route(name, prefix string) fleet.Route {
	return fleet.Route{
		Name: name, Host: "a.example", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1,
		Targets: []fleet.Target{{Service: "desk", Weight: 1}},
	}
}

// TestMatchTakesTheLongestPrefix guards against a request that is routed by a less specific route.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c, err := fleet.NewConfig(1, []fleet.Route{route("short", "/a/"), route("long", "/a/b/")}, []fleet.Service{{Name: "desk"}}, fleet.Limits{})
	qt.Assert(t, err, qt.IsNil)
	for _, x := range []struct{ host, path, want string }{
		{"a.example", "/a/b/c", "long"},
		{"A.Example:8080", "/a/bc", "short"},
		{"a.example", "/a/b", "short"},
		{"a.example", "/b/", ""},
		{"b.example", "/a/", ""},
	} {
		r, _ := c.Match(x.host, x.path)
		qt.Check(t, r.Name, qt.Equals, x.want, qt.Commentf("%s%s", x.host, x.path))
	}
}

// TestNewConfigNamesTheInvalidField guards against a configuration with routes that match no request or have no service.
func TestNewConfigNamesTheInvalidField(t *testing.T) {
	bad := route("r", "/a")
	_, err := fleet.NewConfig(1, []fleet.Route{bad}, []fleet.Service{{Name: "desk"}}, fleet.Limits{})
	qt.Assert(t, codes.Is(err, codes.BadRecord), qt.IsTrue)
	qt.Assert(t, codes.From(err).Field(), qt.Equals, "prefix")
	_, err = fleet.NewConfig(1, []fleet.Route{route("r", "/a/")}, nil, fleet.Limits{})
	qt.Assert(t, codes.From(err).Field(), qt.Equals, "targets")
}

// TestPickFollowsWeights guards against a route that splits its requests in the wrong proportion.
func TestPickFollowsWeights(t *testing.T) {
	r := fleet.Route{Targets: []fleet.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	qt.Assert(t, r.Pick(0), qt.Equals, "a")
	qt.Assert(t, r.Pick(0.899), qt.Equals, "a")
	qt.Assert(t, r.Pick(0.901), qt.Equals, "b")
	qt.Assert(t, r.Pick(0.9999), qt.Equals, "b")
}

// TestNewer guards against a delayed entry of an earlier incarnation that replaces the entry of the current one.
func TestNewer(t *testing.T) {
	old, current := fleet.Upstream{Born: 1, Beat: 90}, fleet.Upstream{Born: 2, Beat: 1}
	qt.Assert(t, current.Newer(old), qt.IsTrue)
	qt.Assert(t, old.Newer(current), qt.IsFalse)
	qt.Assert(t, fleet.Upstream{Born: 2, Beat: 2}.Newer(current), qt.IsTrue)
}
