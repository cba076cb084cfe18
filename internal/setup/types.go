package setup

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

type (
	// Duration is a length of time written with its unit, such as "10s". A parse error is stored in problem until the check.
	Duration struct {
		text    string
		value   time.Duration
		problem string
	}

	// Size is a number of bytes written with its unit, such as "64KiB". A parse error is stored in problem until the check.
	Size struct {
		text    string
		value   int64
		problem string
	}

	// Address is an IP address and port; host names are invalid. A parse error is stored in problem until the check.
	Address struct {
		text    string
		value   netip.AddrPort
		problem string
	}
)

// UnmarshalText parses the text. It stores a parse error instead of returning it, so that the check can report all problems.
func (d *Duration) UnmarshalText(b []byte) error {
	d.text = string(b)
	v, err := time.ParseDuration(d.text)
	d.value = v
	switch {
	case err != nil:
		d.problem = `must be a duration with a unit, such as "10s" or "500ms"`
	case v < 0:
		d.problem = "must not be negative"
	}
	return nil
}

// MarshalText returns the duration in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// Value returns the duration as a time.Duration.
func (d Duration) Value() time.Duration { return d.value }

// UnmarshalText parses the text. It stores a parse error instead of returning it, so that the check can report all problems.
func (s *Size) UnmarshalText(b []byte) error {
	s.text = string(b)
	for suffix, unit := range map[string]int64{"KiB": kib, "MiB": mib, "GiB": gib} {
		if number, ok := strings.CutSuffix(s.text, suffix); ok {
			v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
			if err == nil && v > 0 && v < 1<<20 {
				s.value = v * unit
				return nil
			}
		}
	}
	s.problem = `must be a size with a unit, such as "64KiB" or "8MiB"`
	return nil
}

// MarshalText returns the size as written in the settings.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.text), nil }

// IsSet reports whether the settings contain a size, valid or not.
func (s Size) IsSet() bool { return s.text != "" }

// Bytes returns the size in bytes.
func (s Size) Bytes() int64 { return s.value }

// UnmarshalText parses the text. It stores a parse error instead of returning it, so that the check can report all problems.
func (a *Address) UnmarshalText(b []byte) error {
	a.text = string(b)
	v, err := netip.ParseAddrPort(a.text)
	a.value = v
	if err != nil {
		a.problem = `must be an IP address and a port, such as "10.0.0.1:7001"; host names are not resolved`
	}
	return nil
}

// MarshalText returns the address as written in the settings.
func (a Address) MarshalText() ([]byte, error) { return []byte(a.text), nil }

// String returns the address as IP:port, or an empty string if it is not set.
func (a Address) String() string { return a.text }

// IsSet reports whether the settings contain an address, valid or not.
func (a Address) IsSet() bool { return a.text != "" }

// IP returns the IP address without the port, or the zero netip.Addr if no valid address is set.
func (a Address) IP() netip.Addr { return a.value.Addr() }

// Loopback reports whether the address is a loopback address, which only this machine can reach.
func (a Address) Loopback() bool { return a.value.Addr().IsLoopback() }

func duration(v time.Duration) Duration { return Duration{text: v.String(), value: v} }

func size(text string) Size {
	var s Size
	_ = s.UnmarshalText([]byte(text)) // never returns an error: problems are stored in s
	return s
}
