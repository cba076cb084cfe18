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
	// Settings are the fixed properties of a host list.
	Settings struct {
		Lag time.Duration // delay until a change is published
	}

	// Faults is the fault document of a host list.
	Faults struct {
		Outage      bool  `json:"outage,omitempty"` // whether to reject reads with status 503
		Hang        bool  `json:"hang,omitempty"`   // whether to block reads until it is cleared
		DelayMillis int64 `json:"delayMillis,omitempty"`
	}

	// StateChange is the body of POST /v1/hosts/{name}/state.
	StateChange struct {
		State wire.HostState `json:"state"`
	}

	// List is a host list. It holds the actual hosts and a published list that lags behind them.
	List struct {
		faults    *stand.Faults[Faults]
		ctx       context.Context // ends when the list is closed
		cancel    context.CancelFunc
		mu        sync.Mutex
		actual    []wire.Host
		published *stand.DelayedValue[[]wire.Host]
	}
)

// New returns an empty host list.
func New(settings Settings) *List {
	ctx, cancel := context.WithCancel(context.Background())
	return &List{
		faults: stand.NewFaults(Faults.validate),
		ctx:    ctx, cancel: cancel,
		published: stand.NewDelayedValue(settings.Lag, []wire.Host{}),
	}
}

// Close ends all blocked requests.
func (l *List) Close() { l.cancel() }

// SetFaults replaces the fault document.
func (l *List) SetFaults(f Faults) error { return l.faults.Set(f) }

// Replace replaces all hosts.
func (l *List) Replace(hosts []wire.Host) error {
	for _, h := range hosts {
		if err := validateHost(h); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish(slices.Clone(hosts))
	return nil
}

// Put adds a host, or replaces the host of the same name.
func (l *List) Put(h wire.Host) error {
	if err := validateHost(h); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	same := func(old wire.Host) bool { return old.Name == h.Name }
	l.publish(append(slices.DeleteFunc(slices.Clone(l.actual), same), h))
	return nil
}

// SetState changes the state of the named host; it returns false if the host does not exist.
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

// Published returns the published list, which reflects the state of Settings.Lag ago.
func (l *List) Published() wire.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts, asOf := l.published.Visible(time.Now())
	return wire.HostList{Hosts: hosts, AsOf: asOf, ETag: contentTag(hosts)}
}

// Handler returns the HTTP interface of the list.
func (l *List) Handler() http.Handler {
	m := http.NewServeMux()
	l.faults.Register(m)
	m.HandleFunc("GET /v1/hosts", l.get)
	m.HandleFunc("PUT /v1/hosts", l.put)
	m.HandleFunc("PUT /v1/hosts/{name}", l.putOne)
	m.HandleFunc("POST /v1/hosts/{name}/state", l.postState)
	return stand.BufferBodies(m)
}

func (l *List) publish(next []wire.Host) {
	slices.SortFunc(next, func(a, b wire.Host) int { return cmp.Compare(a.Name, b.Name) })
	l.actual = next
	l.published.Put(time.Now(), next)
}

// contentTag returns the entity tag of a list, a hash of its content.
func contentTag(hosts []wire.Host) string {
	d := xxhash.New()
	_ = json.NewEncoder(d).Encode(hosts) // A hash accepts all bytes, and hosts have no value that JSON cannot encode.
	return `"` + strconv.FormatUint(d.Sum64(), 16) + `"`
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	hung := func(f Faults) bool { return f.Hang }
	if !stand.Sleep(ctx, stand.Milliseconds(l.faults.Get().DelayMillis)) || !l.faults.WaitWhile(ctx, hung) {
		stand.AbortConnection()
	}
	if l.faults.Get().Outage {
		stand.WriteProblem(w, http.StatusServiceUnavailable, "host list is unavailable")
		return
	}
	published := l.Published()
	// Rounded up, so that a reader never considers the list newer than it is.
	age := (time.Since(published.AsOf) + time.Second - 1) / time.Second
	w.Header().Set("Age", strconv.FormatInt(int64(age), 10))
	w.Header().Set("ETag", published.ETag)
	if r.Header.Get("If-None-Match") == published.ETag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	stand.WriteJSON(w, http.StatusOK, published)
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var in wire.HostList
	err := stand.DecodeStrict(r.Body, &in)
	if err == nil {
		err = l.Replace(in.Hosts)
	}
	if err != nil {
		stand.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) putOne(w http.ResponseWriter, r *http.Request) {
	var in wire.Host
	err := stand.DecodeStrict(r.Body, &in)
	in.Name = r.PathValue("name")
	if err == nil {
		err = l.Put(in)
	}
	if err != nil {
		stand.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) postState(w http.ResponseWriter, r *http.Request) {
	var in StateChange
	switch err := stand.DecodeStrict(r.Body, &in); {
	case err != nil:
		stand.WriteProblem(w, http.StatusBadRequest, err.Error())
	case !isKnownState(in.State):
		stand.WriteProblem(w, http.StatusBadRequest, "state must be live, leaving or gone")
	case !l.SetState(r.PathValue("name"), in.State):
		stand.WriteProblem(w, http.StatusNotFound, "host does not exist")
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (f Faults) validate() error {
	if f.DelayMillis < 0 {
		return errors.New("delayMillis must not be negative")
	}
	return nil
}

func validateHost(h wire.Host) error {
	switch {
	case h.Name == "" || h.Address == "":
		return errors.New("host must have a name and an address")
	case !isKnownState(h.State):
		return errors.New("state must be live, leaving or gone")
	}
	return nil
}

func isKnownState(s wire.HostState) bool {
	return s == wire.HostLive || s == wire.HostLeaving || s == wire.HostGone
}
