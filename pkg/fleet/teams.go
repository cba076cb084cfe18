package fleet

import (
	"crypto/sha256"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

type (
	// KeyDigest is the SHA-256 digest of an API key; a configuration holds no key in plain text once it is decoded.
	KeyDigest [sha256.Size]byte

	// Rate limits what a team uses over all hosts together; a zero PerSecond means no limit.
	Rate struct {
		PerSecond float64 // in units of cost
		Burst     float64 // in units of cost
		// Tokens is set if the cost of a request is its number of tokens; otherwise each request costs one.
		Tokens bool
		// PlainTokens is the cost of a request without a number of tokens, if Tokens is set.
		PlainTokens float64
	}

	// Team is a group of callers with its own API keys, priority and rate.
	Team struct {
		Name        string
		Keys        []KeyDigest
		HasPriority bool // whether Priority replaces that of the route
		Priority    int
		Rate        Rate
	}
)

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Cost returns what a request with the given number of tokens costs; zero means that the number is unknown.
func (r Rate) Cost(tokens int) float64 {
	switch {
	case !r.Tokens:
		return 1
	case tokens <= 0:
		return r.PlainTokens
	}
	return float64(tokens)
}

// Limited reports whether the rate is limited.
func (r Rate) Limited() bool { return r.PerSecond > 0 }

// WithTeams returns a copy of the configuration that requires an API key of one of the teams, also if there are none. It returns a
// BadRecord error for a key of two teams, and for a team without a name or with that of another one.
func (c *Config) WithTeams(teams []Team) (*Config, error) {
	x := *c
	x.teams, x.teamsByKey = make(map[string]Team, len(teams)), make(map[KeyDigest]string)
	for _, t := range teams {
		if t.Name == "" {
			return nil, codes.New(codes.BadRecord, "must not be empty").WithField("teams.name")
		}
		if _, ok := x.teams[t.Name]; ok {
			return nil, codes.Newf(codes.BadRecord, "team %s is listed twice", t.Name).WithField("teams.name")
		}
		x.teams[t.Name] = t
		for _, k := range t.Keys {
			if other, ok := x.teamsByKey[k]; ok && other != t.Name {
				return nil, codes.Newf(codes.BadRecord, "teams %s and %s have the same key", other, t.Name).WithField("teams.keys")
			}
			x.teamsByKey[k] = t.Name
		}
	}
	x.leastUrgent = make(map[string]int, len(c.leastUrgent))
	for _, list := range x.routes {
		x.rankRoutes(list)
	}
	return &x, nil
}

// rankRoutes updates leastUrgent by the routes.
func (c *Config) rankRoutes(routes []Route) {
	for _, r := range routes {
		least := r.Priority
		if !r.Public && len(c.teams) > 0 {
			least = 0
			for _, t := range c.teams {
				least = max(least, t.Urgency(r))
			}
		}
		for _, t := range r.Targets {
			c.leastUrgent[t.Service] = max(c.leastUrgent[t.Service], least)
		}
	}
}

// Urgency returns the priority of the team's requests on a route; zero is the most urgent.
func (t Team) Urgency(r Route) int {
	if t.HasPriority {
		return t.Priority
	}
	return r.Priority
}

// RequiresKey reports whether requests need an API key, apart from those of public routes.
func (c *Config) RequiresKey() bool { return c.teams != nil }

// Teams returns all teams by name; the map must not be modified.
func (c *Config) Teams() map[string]Team { return c.teams }

// TeamOf returns the team of an API key.
func (c *Config) TeamOf(key string) (Team, bool) {
	name, ok := c.teamsByKey[DigestKey(key)]
	return c.teams[name], ok
}
