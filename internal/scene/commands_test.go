package scene

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const gib = 1 << 30

// commands are the words of the scenario language; docs/contributing.md describes them.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"platform":  do(platform),
	"daemons":   do(daemons),
	"configure": do(configure),
	"rule":      do(rule),
	"chat":      do(chat),
	"book":      do(book),
	"expect":    do(expect),
	"crash":     do(crash),
	"signal":    do(signalProc),
	"restart":   do(restart),
	"planned":   do(planned),
	"fault":     do(fault),
	"listed":    do(listed),
	"pause":     do(pause),
	"ready":     do(ready),
	"atmostonce": do(func(w *world, a args) error {
		return w.bookingsRunOnce(a)
	}),
	"audit":    do(func(w *world, a args) error { return w.audit(a) }),
	"inforce":  do(func(w *world, a args) error { return w.inForce(a) }),
	"traffic":  do(func(w *world, a args) error { return w.traffic(a) }),
	"again":    do(func(w *world, a args) error { return w.again(a) }),
	"settled":  do(func(w *world, a args) error { return w.settled(a) }),
	"loaded":   do(func(w *world, a args) error { return w.loaded(a) }),
	"publish":  do(func(w *world, a args) error { return w.publish(a) }),
	"cut":      do(func(w *world, a args) error { return w.cut(a) }),
	"heal":     do(func(w *world, a args) error { return w.heal(a) }),
	"newwork":  do(func(w *world, a args) error { return w.newWork(a) }),
	"appends":  do(func(w *world, a args) error { return w.appends(a) }),
	"control":  do(func(w *world, a args) error { return w.controlBytes(a) }),
	"monotone": do(func(w *world, a args) error { return w.monotone(a) }),
}

// args are the words after a command: plain ones in order, and those of the form name=value.
type args struct {
	words []string
	named map[string]string
}

// do adapts a word of the language; "!" in front is not part of it.
func do(f func(*world, args) error) func(*testscript.TestScript, bool, []string) {
	return func(t *testscript.TestScript, neg bool, list []string) {
		if neg {
			t.Fatalf("! is not supported here")
		}
		a := args{named: make(map[string]string)}
		for _, x := range list {
			if k, v, ok := strings.Cut(x, "="); ok && !strings.HasPrefix(x, "{") {
				a.named[k] = v
			} else {
				a.words = append(a.words, x)
			}
		}
		w := t.Value(worldKey{}).(*world)
		if err := f(w, a); err != nil {
			w.broken = append(w.broken, err.Error())
			t.Fatalf("%v", err)
		}
	}
}

func (a args) number(name string, otherwise int) int {
	if n, err := strconv.Atoi(a.named[name]); err == nil {
		return n
	}
	return otherwise
}

func (a args) text(name, otherwise string) string {
	if v, ok := a.named[name]; ok {
		return v
	}
	return otherwise
}

func (a args) duration(name string, otherwise time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.named[name]); err == nil {
		return d
	}
	return otherwise
}

func platform(w *world, a args) error {
	w.oneWay = a.named["oneWay"]
	if a.named["links"] == "relayed" {
		w.links = newLinks()
	}
	if keep, ok := a.named["logKeeps"]; ok {
		w.logArgs = []string{"--keep-records", keep}
	}
	if rate, ok := a.named["logRate"]; ok {
		w.logArgs = append(w.logArgs, "--appends", rate)
	}
	if every, ok := a.named["snapshots"]; ok {
		w.extra = fmt.Sprintf("snapshotInterval = %q\n", every)
	}
	var extra []string
	for k, v := range a.named {
		if flag, ok := strings.CutPrefix(k, "--"); ok {
			extra = append(extra, "--"+flag+"="+v)
		}
	}
	return w.platform(a.number("engines", 3), a.number("services", 1), strings.Split(a.text("centres", "colombo,galle,matara"), ","), extra)
}

// daemons N starts the hosts up to N that are not running, and waits until all are current and each cell and key range has a holder. With inOrder=yes each is
// registered before the next is started: a change needs a majority of each member set of the last day, so it depends on the
// order which hosts may publish while links are cut.
func daemons(w *world, a args) error {
	n, err := strconv.Atoi(a.words[0])
	if err != nil {
		return err
	}
	for i := range n {
		name := fmt.Sprintf("host%d", i+1)
		if w.alive(name) {
			continue
		}
		if err := w.daemon(name, i); err != nil {
			return err
		}
		if a.named["inOrder"] == "yes" && i < n-1 {
			if err := w.registered(i + 1); err != nil {
				return err
			}
		}
	}
	return w.settled(a)
}

// registered waits until host1 knows so many hosts as members.
func (w *world) registered(count int) error {
	return await(readyTimeout, func() error {
		var list []wire.HostReport
		if err := w.request(http.MethodGet, "host1", "/v1/hosts", nil, &list); err != nil {
			return err
		}
		if len(list) < count || !list[0].Current {
			return fmt.Errorf("host1 knows %d hosts, want %d", len(list), count)
		}
		return nil
	})
}

// settled waits until the living hosts know each other, and each cell and key range has a holder and a backup among them.
func (w *world) settled(a args) error {
	return await(a.duration("within", readyTimeout), func() error {
		var all []wire.Status
		living := make(map[string]bool)
		for _, name := range w.names("host") {
			if !w.alive(name) {
				continue
			}
			var s wire.Status
			if err := w.request(http.MethodGet, name, "/v1/status", nil, &s); err != nil {
				return err
			}
			living[s.Incarnation] = true
			all = append(all, s)
		}
		for _, s := range all {
			if err := w.complete(s, living); err != nil {
				return fmt.Errorf("%s: %w", s.Host, err)
			}
		}
		return nil
	})
}

func (w *world) complete(s wire.Status, living map[string]bool) error {
	if !s.Ready {
		return fmt.Errorf("not ready: %s", s.Reason)
	}
	held := make(map[string]bool)
	for _, c := range s.Cells {
		held[c.Cell] = !c.Released && living[c.Holder]
	}
	for _, h := range w.hosts {
		if h.Kind == wire.KindEngine && !held[h.DataCentre] {
			return fmt.Errorf("cell %s has no controller", h.DataCentre)
		}
	}
	for _, k := range s.KeyRanges {
		if !living[k.Holder] || len(living) > 1 && !living[k.Backup] {
			return fmt.Errorf("%d key ranges have holder %q and backup %q", k.Ranges, k.Holder, k.Backup)
		}
	}
	return nil
}

func (w *world) alive(name string) bool {
	p := w.proc(name)
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func modelTemplate(a args, name string) spec.Template {
	return spec.Template{Name: name, Kind: spec.ModelTemplate, Model: &spec.Model{
		Version: a.text("version", "v1"), MaxReplicas: a.number("maxReplicas", 2), WeightBytes: int64(a.number("weight", gib)),
		KVBytes: gib / 4, AdapterBytes: gib / 8, Slots: a.number("slots", 8), LoadMillis: int64(a.number("load", 1000)), TokenMicros: 20000,
		Adapters: []spec.Adapter{{Name: "brass", Bytes: gib / 64}},
	}}
}

// configure publishes models m1 to mN, the booking service and the team whose key the callers use.
func configure(w *world, a args) error {
	if err := w.put("host1", "templates/booking", wire.TemplateChange{Template: spec.Template{
		Name: "booking", Kind: spec.ServiceTemplate, Service: &spec.Service{Repeatable: []string{"GET"}, TimeoutMillis: 5000},
	}}); err != nil {
		return err
	}
	for i := range a.number("models", 1) {
		name := fmt.Sprintf("m%d", i+1)
		if err := w.put("host1", "templates/"+name, wire.TemplateChange{Template: modelTemplate(a, name)}); err != nil {
			return err
		}
	}
	digest := sha256.Sum256([]byte(apiKey))
	return w.put("host1", "teams/fitters", wire.TeamChange{Team: spec.Team{
		Name: "fitters", KeyDigests: []string{hex.EncodeToString(digest[:])}, Models: []string{"*"}, Adapters: []string{"*"},
		Services: []string{"*"}, Urgency: spec.Normal, DeadlineMillis: 20000,
	}})
}

func (w *world) put(host, path string, body any) error {
	var done wire.Change
	if err := w.request(http.MethodPut, host, "/v1/"+path, body, &done); err != nil {
		return err
	}
	return w.inForce(args{named: map[string]string{"offset": strconv.FormatInt(done.Offset, 10)}})
}

// rule names what the script proves: rule NAME FAILURE.
func rule(w *world, a args) error {
	w.rules = append(w.rules, [2]string{a.words[0], a.words[1]})
	return nil
}

// chat NAME HOST MODEL starts a streamed call in the background.
func chat(w *world, a args) error {
	header := http.Header{}
	for _, f := range []string{"X-Urgency", "X-Request-Timeout"} {
		if v, ok := a.named[f]; ok {
			header.Set(f, v)
		}
	}
	w.calls[a.words[0]] = w.chat(a.words[1], a.words[2], a.text("prompt", a.words[0]), a.number("tokens", 40), header)
	return nil
}

// book NAME HOST KEY starts a booking in the background.
func book(w *world, a args) error {
	w.calls[a.words[0]] = w.book(a.words[1], a.words[2], a.text("body", "visit"))
	return nil
}

// expect NAME RESULT... waits for calls; a result is whole, refused, unknown, notRun, ended or a result code.
func expect(w *world, a args) error {
	c := w.calls[a.words[0]]
	select {
	case <-c.done:
	case <-time.After(a.duration("within", time.Minute)):
		return fmt.Errorf("call %s has no end", a.words[0])
	}
	for _, want := range a.words[1:] {
		switch {
		case want == "whole" && c.whole, want == "refused" && c.code > 0, want == "unknown" && c.out == "unknown",
			want == "notRun" && c.out == "notRun", want == "ended", want == "broken" && !c.whole && c.code != 0,
			want == strconv.Itoa(c.code):
			return nil
		}
	}
	return fmt.Errorf("call %s: whole %t, code %d, outcome %s, %s, after %s; want %v", a.words[0], c.whole, c.code, c.out, c.detail, c.took, a.words[1:])
}

// crash NAME ends a process without warning.
func crash(w *world, a args) error {
	p := w.proc(a.words[0])
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.done
	return nil
}

// signal STOP|CONT|TERM NAME...
func signalProc(w *world, a args) error {
	s := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}[a.words[0]]
	for _, n := range a.words[1:] {
		if err := w.proc(n).cmd.Process.Signal(s); err != nil {
			return err
		}
	}
	return nil
}

// restart NAME... starts daemons again, as new incarnations on their old addresses.
func restart(w *world, a args) error {
	for _, n := range a.words {
		if err := w.daemon(n, 0); err != nil {
			return err
		}
	}
	return nil
}

// planned NAME... stops daemons one after the other; each must exit with 0.
func planned(w *world, a args) error {
	for _, n := range a.words {
		p := w.proc(n)
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
			return fmt.Errorf("%s did not stop within %s", n, stopTimeout)
		}
		if p.code != 0 {
			return fmt.Errorf("%s exited with %d", n, p.code)
		}
		if a.named["replace"] == "yes" {
			if err := w.daemon(n, 0); err != nil {
				return err
			}
			if err := w.settled(a); err != nil {
				return err
			}
		}
	}
	return nil
}

// fault NAME JSON replaces the faults of a stand-in.
func fault(w *world, a args) error {
	return w.request(http.MethodPost, a.words[0], "/faults", json.RawMessage(a.words[1]), nil)
}

// listed NAME STATE sets the state of a host in the host list.
func listed(w *world, a args) error {
	return w.request(http.MethodPost, "hosts", "/v1/hosts/"+a.words[0]+"/state", map[string]string{"state": a.words[1]}, nil)
}

func pause(_ *world, a args) error {
	d, err := time.ParseDuration(a.words[0])
	time.Sleep(d)
	return err
}

// ready NAME yes|no waits for the readiness of a host.
func ready(w *world, a args) error {
	return await(a.duration("within", readyTimeout), func() error {
		var s wire.Status
		if err := w.request(http.MethodGet, a.words[0], "/v1/status", nil, &s); err != nil {
			return err
		}
		if s.Ready != (a.words[1] == "yes") {
			return fmt.Errorf("%s: ready is %t: %s", a.words[0], s.Ready, s.Reason)
		}
		return nil
	})
}
