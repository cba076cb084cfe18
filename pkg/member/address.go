package member

import "time"

// Addresses is an answer to a caller: the addresses to try, best first, and how long they are valid.
type Addresses struct {
	URLs     []string
	Lifetime time.Duration
}

// Addresses returns up to limit daemons that are current, not draining and not lost. Daemons in the caller's data centre
// come first, and each group is rotated from answer to answer to spread callers. The answer is empty only if this daemon
// cannot serve either.
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
	return Addresses{URLs: all[:min(limit, len(all))], Lifetime: l.lifetime}
}

func rotate(urls []string, turn uint64) []string {
	if len(urls) == 0 {
		return nil
	}
	n := int(turn % uint64(len(urls)))
	return append(append([]string(nil), urls[n:]...), urls[:n]...)
}
