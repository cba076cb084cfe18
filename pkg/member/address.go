package member

import "time"

// Addresses is an answer to a caller: the addresses to try, best first, and how long they are valid.
type Addresses struct {
	URLs     []string
	Lifetime time.Duration
}

// Addresses returns the addresses of up to limit daemons that are current, not draining and not lost. Daemons in the caller's
// data centre come first. Both groups are rotated with each call, to spread callers. The answer is empty only if neither this
// daemon nor a peer can serve.
func (l *List) Addresses(now time.Time, dataCentre string, limit int) Addresses {
	var near, far []string
	add := func(id Identity) {
		if id.DataCentre == dataCentre {
			near = append(near, id.CallerURL)
		} else {
			far = append(far, id.CallerURL)
		}
	}
	if l.state.Current && !l.state.Draining && !l.evicted {
		add(l.self)
	}
	for _, p := range l.sorted() {
		if p.serving(now) && p.CallerURL != "" {
			add(p.Identity)
		}
	}
	all := append(rotate(near, l.rotation), rotate(far, l.rotation)...)
	l.rotation++
	return Addresses{URLs: all[:min(limit, len(all))], Lifetime: l.addressLifetime}
}

func rotate(urls []string, shift uint64) []string {
	if len(urls) == 0 {
		return nil
	}
	n := int(shift % uint64(len(urls)))
	return append(append([]string(nil), urls[n:]...), urls[:n]...)
}
