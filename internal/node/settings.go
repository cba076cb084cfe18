package node

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

type (
	// Settings are the settings of one process, as read from the settings file.
	Settings struct {
		Host     HostSettings     `toml:"host"`
		Listen   ListenSettings   `toml:"listen"`
		Platform PlatformSettings `toml:"platform"`
		Limits   LimitSettings    `toml:"limits"`
	}

	// HostSettings identify the host and describe its resources.
	HostSettings struct {
		Name       string  `toml:"name"`
		DataCentre string  `toml:"dataCentre"`
		Cores      float64 `toml:"cores"`     // processor share, in cores
		CoreSpeed  float64 `toml:"coreSpeed"` // factor by which Cores is multiplied to get the capacity of the host
		MemoryMB   float64 `toml:"memoryMB"`  // memory limit of the process, in megabytes
		LinkMbps   float64 `toml:"linkMbps"`  // speed of the host's link, in megabits a second; zero means unknown
		MaxFiles   int     `toml:"maxFiles"`  // limit on open descriptors; zero means that of the process
		Bootstrap  bool    `toml:"bootstrap"` // whether all hosts of the system start for the first time
	}

	// ListenSettings are the listen addresses of the process, as IP:PORT.
	ListenSettings struct {
		Traffic   string `toml:"traffic"`
		Ready     string `toml:"ready"`
		Directory string `toml:"directory"`
		Peers     string `toml:"peers"`
		Metrics   string `toml:"metrics"`
	}

	// PlatformSettings locate the log service of the platform.
	PlatformSettings struct {
		Address string `toml:"address"`
		// Seeds are peer addresses of some hosts. A host without configuration or list queries them if the log service doesn't
		// answer.
		Seeds []string `toml:"seeds"`
	}

	// LimitSettings are the operator's bounds for the system.
	LimitSettings struct {
		GraceS           float64 `toml:"graceS"`           // time from SIGTERM to SIGKILL, in seconds
		LeaseMS          int     `toml:"leaseMS"`          // minimum time between two changes of the lease's holder, in milliseconds
		RepeatRatio      float64 `toml:"repeatRatio"`      // share of requests that may be repeated
		RepeatWindowS    float64 `toml:"repeatWindowS"`    // window of RepeatRatio, in seconds
		RepeatExtra      float64 `toml:"repeatExtra"`      // number of repeats in a window beyond RepeatRatio, over all hosts
		AddressLifetimeS float64 `toml:"addressLifetimeS"` // how long callers may cache host addresses, in seconds
		RequireFence     bool    `toml:"requireFence"`     // whether engines refuse orders with an old fence
		ConfigMS         int     `toml:"configMS"`         // time within which a new configuration must be in force, in milliseconds
		LeaveMS          int     `toml:"leaveMS"`          // time after which a leaving upstream must get no new work, in milliseconds
		// ContactMS is the time, in milliseconds, for which a host must have been without disruption before the operator's bounds
		// apply to it.
		ContactMS   int     `toml:"contactMS"`
		LoadWindowS float64 `toml:"loadWindowS"` // window of the rate limit on loads from the weight store, in seconds
		// Requests of a team in any window of RateWindowS seconds may cost (its rate × RateWindowS + its burst) × (1 + RateOver) +
		// RateSlack.
		RateWindowS float64 `toml:"rateWindowS"`
		RateOver    float64 `toml:"rateOver"`
		RateSlack   float64 `toml:"rateSlack"`
	}
)

// maxAddressLifetime is the longest address lifetime, in seconds, that callers respect, according to the platform's specification.
const maxAddressLifetime = 5.0

// ReadSettings reads and validates a settings file. The error is a BadSettings error; its field is the invalid key, if known.
func ReadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, codes.New(codes.BadSettings, err.Error())
	}
	return ParseSettings(data)
}

// ParseSettings parses and validates settings in TOML. The error is a BadSettings error; its field is the invalid key, if known.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{Host: HostSettings{Cores: 1, CoreSpeed: 1}, Limits: LimitSettings{
		GraceS: 8, LeaseMS: 3000, RepeatRatio: 0.1, RepeatWindowS: 10, RepeatExtra: 10, AddressLifetimeS: 2, RequireFence: true,
		ConfigMS: 2000, LeaveMS: 2000, ContactMS: 3000, LoadWindowS: 5, RateWindowS: 1,
	}}
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, decodeError(err)
	}
	return s, s.check()
}

func decodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return codes.New(codes.BadSettings, "is not a known key").WithField(joinKey(unknown.Errors[0].Key()))
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		return codes.New(codes.BadSettings, syntax.Error()).WithField(joinKey(syntax.Key()))
	}
	return codes.New(codes.BadSettings, err.Error())
}

func joinKey(key toml.Key) string {
	text := ""
	for i, k := range key {
		if i > 0 {
			text += "."
		}
		text += k
	}
	return text
}

func (s *Settings) check() error {
	invalid := func(key, detail string) error { return codes.New(codes.BadSettings, detail).WithField(key) }
	if s.Host.Name == "" {
		return invalid("host.name", "must not be empty")
	}
	for _, a := range []struct {
		key, value string
		optional   bool
	}{
		{"listen.traffic", s.Listen.Traffic, false},
		{"listen.ready", s.Listen.Ready, true},
		{"listen.directory", s.Listen.Directory, true},
		{"listen.peers", s.Listen.Peers, false},
		{"listen.metrics", s.Listen.Metrics, true},
		{"platform.address", s.Platform.Address, false},
	} {
		if a.value == "" && a.optional {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return invalid(a.key, "must be IP:PORT")
		}
	}
	for _, a := range s.Platform.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return invalid("platform.seeds", "must be IP:PORT")
		}
	}
	for _, n := range []struct {
		key        string
		value, min float64
	}{
		{"host.memoryMB", s.Host.MemoryMB, 0},
		{"host.maxFiles", float64(s.Host.MaxFiles), 0},
		{"limits.graceS", s.Limits.GraceS, 0.1},
		{"limits.leaseMS", float64(s.Limits.LeaseMS), 1},
		{"limits.repeatRatio", s.Limits.RepeatRatio, 0},
		{"limits.repeatWindowS", s.Limits.RepeatWindowS, 0.1},
		{"limits.repeatExtra", s.Limits.RepeatExtra, 0},
		{"limits.addressLifetimeS", s.Limits.AddressLifetimeS, 0.1},
		{"limits.configMS", float64(s.Limits.ConfigMS), 1},
		{"limits.leaveMS", float64(s.Limits.LeaveMS), 1},
		{"limits.contactMS", float64(s.Limits.ContactMS), 1},
		{"limits.loadWindowS", s.Limits.LoadWindowS, 0.1},
		{"limits.rateWindowS", s.Limits.RateWindowS, 0.1},
		{"limits.rateOver", s.Limits.RateOver, 0},
		{"limits.rateSlack", s.Limits.RateSlack, 0},
	} {
		if !(n.value >= n.min) {
			return invalid(n.key, "is too small")
		}
	}
	s.Limits.AddressLifetimeS = min(s.Limits.AddressLifetimeS, maxAddressLifetime)
	return nil
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
