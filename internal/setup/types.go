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
	// Duration is a length of time written with its unit, such as "10s"; a fault is kept for the check.
	Duration struct {
		text  string
		value time.Duration
		fault string
	}

	// Size is a number of bytes written with its unit, such as "64KiB"; a fault is kept for the check.
	Size struct {
		text  string
		value int64
		fault string
	}

	// Address is an IP number and port; host names are a fault that is kept for the check.
	Address struct {
		text  string
		value netip.AddrPort
		fault string
	}
)

// UnmarshalText parses the text and keeps a fault instead of returning it, so that a check can report all faults.
func (d *Duration) UnmarshalText(b []byte) error {
	d.text = string(b)
	v, err := time.ParseDuration(d.text)
	d.value = v
	switch {
	case err != nil:
		d.fault = `must be a duration with a unit, such as "10s" or "500ms"`
	case v < 0:
		d.fault = "must not be negative"
	}
	return nil
}

// MarshalText returns the text as it was written.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// Value returns the length of time.
func (d Duration) Value() time.Duration { return d.value }

// UnmarshalText parses the text and keeps a fault instead of returning it, so that a check can report all faults.
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
	s.fault = `must be a size with a unit, such as "64KiB" or "8MiB"`
	return nil
}

// MarshalText returns the text as it was written.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.text), nil }

// Bytes returns the number of bytes.
func (s Size) Bytes() int64 { return s.value }

// UnmarshalText parses the text and keeps a fault instead of returning it, so that a check can report all faults.
func (a *Address) UnmarshalText(b []byte) error {
	a.text = string(b)
	v, err := netip.ParseAddrPort(a.text)
	a.value = v
	if err != nil {
		a.fault = `must be an IP number and a port, such as "10.0.0.1:7001"; host names are not resolved`
	}
	return nil
}

// MarshalText returns the text as it was written.
func (a Address) MarshalText() ([]byte, error) { return []byte(a.text), nil }

// String returns the address as IP:port, or an empty string when it is not set.
func (a Address) String() string { return a.text }

// IsSet reports whether an address was written.
func (a Address) IsSet() bool { return a.text != "" }

// IP returns the IP number of the address; it is invalid when no address is set.
func (a Address) IP() netip.Addr { return a.value.Addr() }

// Loopback reports whether the address can be reached from this machine only.
func (a Address) Loopback() bool { return a.value.Addr().IsLoopback() }

func duration(v time.Duration) Duration { return Duration{text: v.String(), value: v} }

func size(text string) Size {
	var s Size
	_ = s.UnmarshalText([]byte(text)) // never fails: faults are kept in the value
	return s
}
