package setup

import "time"

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

	// Host says which machine the daemon runs on.
	Host struct {
		Name       string `toml:"name"`
		DataCentre string `toml:"dataCentre"`
	}

	// Listen holds the addresses that the daemon listens on; callers connect to them as written.
	Listen struct {
		Traffic  Address `toml:"traffic"`
		Peers    Address `toml:"peers"`
		Operator Address `toml:"operator"`
	}

	// Advertise holds the addresses under which others reach the daemon where these differ from the ones it listens on.
	Advertise struct {
		Peers Address `toml:"peers"`
	}

	// Platform tells where the platform's services are.
	Platform struct {
		Log            Address   `toml:"log"`
		LogStream      string    `toml:"logStream"`
		HostList       Address   `toml:"hostList"`
		Seeds          []Address `toml:"seeds"` // Seeds are peer addresses tried while the log is unavailable.
		StatusInterval Duration  `toml:"statusInterval"`
		// SnapshotInterval is the time between two snapshots in the log; it must be well below the log's retention.
		SnapshotInterval Duration `toml:"snapshotInterval"`
	}

	// Store describes the limits of the weight store and of adapter loads.
	Store struct {
		LoadsPerSecond   float64 `toml:"loadsPerSecond"`
		Slots            int     `toml:"slots"`
		AdaptersInFlight int     `toml:"adaptersInFlight"`
	}

	// Limits bounds what one caller can make the daemon hold.
	Limits struct {
		RequestBytes  Size     `toml:"requestBytes"`
		ReplyBytes    Size     `toml:"replyBytes"`
		HeaderTimeout Duration `toml:"headerTimeout"`
		BodyTimeout   Duration `toml:"bodyTimeout"`
		InFlight      int      `toml:"inFlight"`
	}

	// Caller holds what callers are told.
	Caller struct {
		AddressLifetime Duration `toml:"addressLifetime"`
		KeyLifetime     Duration `toml:"keyLifetime"`
	}

	// Operator holds the access rules of the operator API.
	Operator struct {
		Token string `toml:"token"`
	}

	// Telemetry says where traces go and how much is logged.
	Telemetry struct {
		OTLPEndpoint Address `toml:"otlpEndpoint"`
		LogLevel     string  `toml:"logLevel"`
	}
)

// PeerAddress returns the address to which other daemons connect.
func (s Settings) PeerAddress() Address {
	if s.Advertise.Peers.IsSet() {
		return s.Advertise.Peers
	}
	return s.Listen.Peers
}

// Default returns the settings that apply where a file says nothing.
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
