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
	// Settings are the settings of one process, in the product's own format.
	Settings struct {
		Host     HostSettings     `toml:"host"`
		Listen   ListenSettings   `toml:"listen"`
		Platform PlatformSettings `toml:"platform"`
		Limits   LimitSettings    `toml:"limits"`
	}

	// HostSettings name the host.
	HostSettings struct {
		Name       string  `toml:"name"`
		DataCentre string  `toml:"dataCentre"`
		Cores      float64 `toml:"cores"`     // Cores is the processor share in cores.
		CoreSpeed  float64 `toml:"coreSpeed"` // CoreSpeed is the number of cores that the share counts as.
		MemoryMB   float64 `toml:"memoryMB"`  // MemoryMB is the memory that the process may use, in megabytes.
	}

	// ListenSettings are the addresses, as IP:PORT, on which the process listens.
	ListenSettings struct {
		Traffic   string `toml:"traffic"`
		Ready     string `toml:"ready"`
		Directory string `toml:"directory"`
		Peers     string `toml:"peers"`
		Metrics   string `toml:"metrics"`
	}

	// PlatformSettings name the platform's log service.
	PlatformSettings struct {
		Address string `toml:"address"`
		// Seeds are the addresses for peers of some hosts, which a host without a configuration asks when the log service is silent.
		Seeds []string `toml:"seeds"`
	}

	// LimitSettings are the bounds that the operator sets for the system.
	LimitSettings struct {
		GraceS           float64 `toml:"graceS"`           // GraceS is the time from SIGTERM to SIGKILL, in seconds.
		LeaseMS          int     `toml:"leaseMS"`          // LeaseMS is the time within which holders of a lease must not alternate, in milliseconds.
		RepeatRatio      float64 `toml:"repeatRatio"`      // RepeatRatio is the share of requests that may be sent once more.
		RepeatWindowS    float64 `toml:"repeatWindowS"`    // RepeatWindowS is the window of RepeatRatio, in seconds.
		RepeatExtra      float64 `toml:"repeatExtra"`      // RepeatExtra is the number of repeats in a window beyond RepeatRatio, over all hosts.
		AddressLifetimeS float64 `toml:"addressLifetimeS"` // AddressLifetimeS is how long callers keep the addresses they were given, in seconds.
		RequireFence     bool    `toml:"requireFence"`     // RequireFence tells that engines refuse an order with an old fence.
		ConfigMS         int     `toml:"configMS"`         // ConfigMS is the time within which a configuration must be in force, in milliseconds.
		LeaveMS          int     `toml:"leaveMS"`          // LeaveMS is the time within which a leaving upstream must get no new work, in milliseconds.
		LoadWindowS      float64 `toml:"loadWindowS"`      // LoadWindowS is the window of the limit on loads from the weight store, in seconds.
	}
)

// maxLifetime is the largest lifetime of an address that callers heed, by the platform's sheet.
const maxLifetime = 5.0

// ReadSettings reads and checks the settings file; a fault is a BadSettings error that names the key.
func ReadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, codes.New(codes.BadSettings, err.Error())
	}
	return ParseSettings(data)
}

// ParseSettings checks settings in TOML; a fault is a BadSettings error that names the key.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{Host: HostSettings{Cores: 1, CoreSpeed: 1}, Limits: LimitSettings{
		GraceS: 8, LeaseMS: 3000, RepeatRatio: 0.1, RepeatWindowS: 10, RepeatExtra: 10, AddressLifetimeS: 2, RequireFence: true,
		ConfigMS: 2000, LeaveMS: 2000, LoadWindowS: 5,
	}}
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, decodeFault(err)
	}
	return s, s.check()
}

func decodeFault(err error) error {
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
	fault := func(key, detail string) error { return codes.New(codes.BadSettings, detail).WithField(key) }
	if s.Host.Name == "" {
		return fault("host.name", "must not be empty")
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
			return fault(a.key, "must be IP:PORT")
		}
	}
	for _, a := range s.Platform.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fault("platform.seeds", "must be IP:PORT")
		}
	}
	for _, n := range []struct {
		key        string
		value, min float64
	}{
		{"limits.graceS", s.Limits.GraceS, 0.1},
		{"limits.leaseMS", float64(s.Limits.LeaseMS), 1},
		{"limits.repeatRatio", s.Limits.RepeatRatio, 0},
		{"limits.repeatWindowS", s.Limits.RepeatWindowS, 0.1},
		{"limits.repeatExtra", s.Limits.RepeatExtra, 0},
		{"limits.addressLifetimeS", s.Limits.AddressLifetimeS, 0.1},
		{"limits.configMS", float64(s.Limits.ConfigMS), 1},
		{"limits.leaveMS", float64(s.Limits.LeaveMS), 1},
		{"limits.loadWindowS", s.Limits.LoadWindowS, 0.1},
	} {
		if !(n.value >= n.min) {
			return fault(n.key, "is too small")
		}
	}
	s.Limits.AddressLifetimeS = min(s.Limits.AddressLifetimeS, maxLifetime)
	return nil
}

// seconds returns a setting in seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
