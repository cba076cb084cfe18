package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// The kinds of a route determine which of its requests may be retried.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests may run at most once.
	Unsafe
	// Stream requests are answered with a stream of events and may be retried only if the route is resumable.
	Stream
)

type (
	// Kind is the kind of a route.
	Kind int

	// Target is a service that receives a share of a route's requests.
	Target struct {
		Service string
		Weight  int // relative to the weights of the route's other targets
	}

	// Route defines the targets and limits for requests with a given host and path prefix.
	Route struct {
		Name        string
		Host        string
		Prefix      string // begins and ends with a slash
		Kind        Kind
		Timeout     time.Duration // limit on the time until the response is complete
		Objective   time.Duration // target response time; later responses are worth less
		MaxPause    time.Duration // longest acceptable pause between events of a stream
		Priority    int           // rank; zero is the most urgent
		Targets     []Target
		MaxAttempts int // limit on the number of upstreams that one request may be sent to
		Resumable   bool
		Public      bool // whether requests need no API key
		// SessionAffinity is set when requests share prompt prefixes, so that an upstream that has them cached responds faster.
		SessionAffinity bool
	}

	// Model is a set of weights that an engine can load.
	Model struct {
		Name       string
		WeightMB   float64
		AdapterMB  float64
		Adapters   int
		FromStore  time.Duration // time of a load from the weight store at full speed
		FromDisk   time.Duration // time of a load from the upstream's disk; zero means no such tier
		FromMemory time.Duration // time of a load from the upstream's host memory; zero means no such tier
	}

	// Engine holds the properties of a service's inference engines, which are the same for all its upstreams.
	Engine struct {
		Slots          int // number of requests that an engine runs concurrently
		KVTokens       int // size of the KV cache in tokens
		MemoryMB       float64
		AdapterSlots   int
		LoadsPerSecond float64 // limit on the loads from the weight store, over all upstreams
		Models         map[string]Model
	}

	// Service is a set of interchangeable upstreams.
	Service struct {
		Name     string
		MaxConns int     // limit on the connections to one upstream, over all hosts
		Engine   *Engine // nil for a service without models
	}

	// Limits bounds the size and duration of callers' requests; zero means no limit.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Config is one version of the operator's configuration.
	Config struct {
		version    int64
		routes     map[string][]Route
		all        []Route // in the order of the configuration
		services   map[string]Service
		limits     Limits
		teams      map[string]Team
		teamsByKey map[KeyDigest]string // names of teams
		// leastUrgent holds the highest priority number that a request to each service can have.
		leastUrgent map[string]int
	}
)

// NewConfig builds a configuration. It returns a BadRecord error that names the first invalid field.
func NewConfig(version int64, routes []Route, services []Service, l Limits) (*Config, error) {
	c := &Config{version: version, routes: make(map[string][]Route), services: make(map[string]Service), limits: l, all: routes, leastUrgent: make(map[string]int)}
	for _, s := range services {
		if s.Name == "" {
			return nil, codes.New(codes.BadRecord, "must not be empty").WithField("services.name")
		}
		c.services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.check(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	c.rankRoutes(routes)
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Config) check(r Route) error {
	badRecord := func(field, detail string) error {
		return codes.Newf(codes.BadRecord, "route %s: %s", r.Name, detail).WithField(field)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return badRecord("prefix", "must begin and end with a slash")
	case r.Timeout <= 0:
		return badRecord("timeout", "must be positive")
	case len(r.Targets) == 0:
		return badRecord("targets", "must not be empty")
	}
	for _, t := range r.Targets {
		if _, ok := c.services[t.Service]; !ok {
			return badRecord("targets", "unknown service "+t.Service)
		}
	}
	return nil
}

// Version returns the version number, which increases with each change.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// HasModel reports whether the service has an engine with the model.
func (c *Config) HasModel(service, model string) bool {
	s, ok := c.services[service]
	if !ok || s.Engine == nil {
		return false
	}
	_, ok = s.Engine.Models[model]
	return ok
}

// Services returns all services by name; the map must not be modified.
func (c *Config) Services() map[string]Service { return c.services }

// Ranks returns the number of ranks below that of the priority among the requests to the service; zero means that no request to the
// service is less urgent.
func (c *Config) Ranks(service string, priority int) int {
	return max(c.leastUrgent[service]-priority, 0)
}

// Routes returns all routes, in the order of the configuration; the list must not be modified.
func (c *Config) Routes() []Route { return c.all }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return len(c.all) }

// Match returns the route of the host whose prefix is the longest match for the path; a port in host is ignored.
func (c *Config) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Repeatable reports whether requests of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Pick chooses a service by the weights of the targets; x is a random number from 0 to 1.
func (r Route) Pick(x float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := x * float64(total)
	for _, t := range r.Targets {
		if rest -= float64(t.Weight); rest < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
