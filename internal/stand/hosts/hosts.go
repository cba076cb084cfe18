package hosts

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

type (
	// Settings are the fixed properties of the list.
	Settings struct {
		Lag time.Duration // Lag is the age of the state that the list shows.
	}

	// Faults are the faults of the list.
	Faults struct {
		Outage      bool  `json:"outage,omitempty"` // Outage answers reads with 503.
		Hang        bool  `json:"hang,omitempty"`   // Hang answers no reads until it is lifted.
		DelayMillis int64 `json:"delayMillis,omitempty"`
	}

	// StateChange is the body of POST /v1/hosts/{name}/state.
	StateChange struct {
		State wire.HostState `json:"state"`
	}

	// List is a host list.
	List struct {
		faults *stand.Faults[Faults]
		ctx    context.Context // ctx ends when the list is closed.
		stop   context.CancelFunc
		mu     sync.Mutex
		actual []wire.Host
		shown  *stand.Lag[[]wire.Host]
	}
)

// New returns an empty list.
func New(set Settings) *List {
	ctx, stop := context.WithCancel(context.Background())
	return &List{
		faults: stand.NewFaults(Faults.check),
		ctx:    ctx, stop: stop,
		shown: stand.NewLag(set.Lag, []wire.Host{}),
	}
}

// Close ends all waiting requests.
func (l *List) Close() { l.stop() }

// SetFaults replaces the faults.
func (l *List) SetFaults(f Faults) error { return l.faults.Set(f) }

// Replace replaces the whole list.
func (l *List) Replace(hosts []wire.Host) error {
	for _, h := range hosts {
		if err := check(h); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish(slices.Clone(hosts))
	return nil
}

// Put replaces or adds one host.
func (l *List) Put(h wire.Host) error {
	if err := check(h); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	same := func(old wire.Host) bool { return old.Name == h.Name }
	l.publish(append(slices.DeleteFunc(slices.Clone(l.actual), same), h))
	return nil
}

// SetState changes the state of the named host; it returns false when there is none.
func (l *List) SetState(name string, state wire.HostState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.actual, func(h wire.Host) bool { return h.Name == name })
	if i < 0 {
		return false
	}
	next := slices.Clone(l.actual)
	next[i].State = state
	l.publish(next)
	return true
}

// Shown returns the list as it is published now.
func (l *List) Shown() wire.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts, asOf := l.shown.Shown(time.Now())
	return wire.HostList{Hosts: hosts, AsOf: asOf, ETag: tag(hosts)}
}

// Handler returns the HTTP interface of the list.
func (l *List) Handler() http.Handler {
	m := http.NewServeMux()
	l.faults.Register(m)
	m.HandleFunc("GET /v1/hosts", l.get)
	m.HandleFunc("PUT /v1/hosts", l.put)
	m.HandleFunc("PUT /v1/hosts/{name}", l.putOne)
	m.HandleFunc("POST /v1/hosts/{name}/state", l.postState)
	return stand.ReadBodies(m)
}

func (l *List) publish(next []wire.Host) {
	slices.SortFunc(next, func(a, b wire.Host) int { return cmp.Compare(a.Name, b.Name) })
	l.actual = next
	l.shown.Put(time.Now(), next)
}

// tag names the content of a list.
func tag(hosts []wire.Host) string {
	d := xxhash.New()
	_ = json.NewEncoder(d).Encode(hosts) // A digest takes all bytes, and hosts have no value that JSON cannot hold.
	return `"` + strconv.FormatUint(d.Sum64(), 16) + `"`
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	hung := func(f Faults) bool { return f.Hang }
	if !stand.Sleep(ctx, stand.Millis(l.faults.Get().DelayMillis)) || !l.faults.Hold(ctx, hung) {
		stand.Drop()
	}
	if l.faults.Get().Outage {
		stand.Fail(w, http.StatusServiceUnavailable, "host list is down")
		return
	}
	shown := l.Shown()
	// Rounded up, so that a reader never takes the list for newer than it is.
	age := (time.Since(shown.AsOf) + time.Second - 1) / time.Second
	w.Header().Set("Age", strconv.FormatInt(int64(age), 10))
	w.Header().Set("ETag", shown.ETag)
	if r.Header.Get("If-None-Match") == shown.ETag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	stand.Reply(w, http.StatusOK, shown)
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var in wire.HostList
	err := stand.Decode(r.Body, &in)
	if err == nil {
		err = l.Replace(in.Hosts)
	}
	if err != nil {
		stand.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) putOne(w http.ResponseWriter, r *http.Request) {
	var in wire.Host
	err := stand.Decode(r.Body, &in)
	in.Name = r.PathValue("name")
	if err == nil {
		err = l.Put(in)
	}
	if err != nil {
		stand.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) postState(w http.ResponseWriter, r *http.Request) {
	var in StateChange
	switch err := stand.Decode(r.Body, &in); {
	case err != nil:
		stand.Fail(w, http.StatusBadRequest, err.Error())
	case !validState(in.State):
		stand.Fail(w, http.StatusBadRequest, "state is not one of live, leaving and gone")
	case !l.SetState(r.PathValue("name"), in.State):
		stand.Fail(w, http.StatusNotFound, "no such host")
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (f Faults) check() error {
	if f.DelayMillis < 0 {
		return errors.New("delayMillis is negative")
	}
	return nil
}

func check(h wire.Host) error {
	switch {
	case h.Name == "" || h.Address == "":
		return errors.New("host has no name or no address")
	case !validState(h.State):
		return errors.New("state is not one of live, leaving and gone")
	}
	return nil
}

func validState(s wire.HostState) bool {
	return s == wire.HostLive || s == wire.HostLeaving || s == wire.HostGone
}
