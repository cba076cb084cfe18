package setup

import "time"

const (
	defaultMemory = gib
	// memoryFactor is the least quotient of the memory and the size of a request: one request may use about a sixth of the memory, and is held
	// up to four times.
	memoryFactor = 32
)

type (
	// Settings holds the settings of one daemon.
	Settings struct {
		Host      Host      `toml:"host"`
		Listen    Listen    `toml:"listen"`
		Advertise Advertise `toml:"advertise"`
		Platform  Platform  `toml:"platform"`
		Store     Store     `toml:"store"`
		Limits    Limits    `toml:"limits"`
		Caller    Caller    `toml:"caller"`
		Operator  Operator  `toml:"operator"`
		Telemetry Telemetry `toml:"telemetry"`
	}

	// Host identifies the machine that the daemon runs on.
	Host struct {
		Name       string `toml:"name"`
		DataCentre string `toml:"dataCentre"`
	}

	// Listen holds the addresses that the daemon listens on. Clients use the same addresses to connect, except where Advertise
	// overrides them.
	Listen struct {
		Traffic  Address `toml:"traffic"`
		Peers    Address `toml:"peers"`
		Operator Address `toml:"operator"`
	}

	// Advertise holds the addresses at which other hosts reach the daemon, if these differ from the listen addresses.
	Advertise struct {
		Peers Address `toml:"peers"`
	}

	// Platform holds the addresses of the platform's services and the intervals of reads and snapshots.
	Platform struct {
		Log            Address   `toml:"log"`
		LogStream      string    `toml:"logStream"`
		HostList       Address   `toml:"hostList"`
		Seeds          []Address `toml:"seeds"` // addresses of peers to connect to while the log is unavailable
		StatusInterval Duration  `toml:"statusInterval"`
		// SnapshotInterval is the time between snapshots in the log. It must be well below the retention time of the log.
		SnapshotInterval Duration `toml:"snapshotInterval"`
	}

	// Store holds the limits of the weight store and of concurrent adapter loads.
	Store struct {
		LoadsPerSecond   float64 `toml:"loadsPerSecond"`
		Slots            int     `toml:"slots"`
		AdaptersInFlight int     `toml:"adaptersInFlight"`
	}

	// Limits bounds the memory and connections that callers can occupy.
	Limits struct {
		Memory        Size     `toml:"memory"` // of the process; see MemoryBytes
		RequestBytes  Size     `toml:"requestBytes"`
		ReplyBytes    Size     `toml:"replyBytes"`
		HeaderTimeout Duration `toml:"headerTimeout"`
		BodyTimeout   Duration `toml:"bodyTimeout"`
		InFlight      int      `toml:"inFlight"`
	}

	// Caller holds the lifetimes of the addresses and idempotency keys that callers receive.
	Caller struct {
		AddressLifetime Duration `toml:"addressLifetime"`
		KeyLifetime     Duration `toml:"keyLifetime"`
	}

	// Operator holds the access token of the operators' API.
	Operator struct {
		Token string `toml:"token"`
	}

	// Telemetry holds the endpoint for traces and the log level.
	Telemetry struct {
		OTLPEndpoint Address `toml:"otlpEndpoint"`
		LogLevel     string  `toml:"logLevel"`
	}
)

// PeerAddress returns the address that other daemons connect to.
func (s Settings) PeerAddress() Address {
	if s.Advertise.Peers.IsSet() {
		return s.Advertise.Peers
	}
	return s.Listen.Peers
}

// MemoryBytes returns the memory from which the limits on clients follow. Without a setting it is the least that lets a request of the largest size
// be served, and at least defaultMemory.
func (l Limits) MemoryBytes() int64 {
	if l.Memory.value > 0 {
		return l.Memory.value
	}
	return max(defaultMemory, memoryFactor*l.RequestBytes.value)
}

// Default returns the settings that apply where a file does not set a key.
func Default() Settings {
	return Settings{
		Platform: Platform{LogStream: "control", StatusInterval: duration(500 * time.Millisecond), SnapshotInterval: duration(time.Hour)},
		Store:    Store{LoadsPerSecond: 4, Slots: 4, AdaptersInFlight: 30},
		Limits: Limits{
			RequestBytes:  size("1MiB"),
			ReplyBytes:    size("256KiB"),
			HeaderTimeout: duration(5 * time.Second),
			BodyTimeout:   duration(10 * time.Second),
			InFlight:      10000,
		},
		Caller:    Caller{AddressLifetime: duration(10 * time.Second), KeyLifetime: duration(24 * time.Hour)},
		Telemetry: Telemetry{LogLevel: "info"},
	}
}
