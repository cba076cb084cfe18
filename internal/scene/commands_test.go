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

// commands holds the commands of the scenario scripts by name; docs/contributing.md describes them.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"platform":  command(platform),
	"daemons":   command(daemons),
	"configure": command(configure),
	"rule":      command(rule),
	"chat":      command(chat),
	"book":      command(book),
	"expect":    command(expect),
	"crash":     command(crash),
	"signal":    command(signalProc),
	"restart":   command(restart),
	"planned":   command(planned),
	"fault":     command(fault),
	"listed":    command(listed),
	"pause":     command(pause),
	"ready":     command(ready),
	"atmostonce": command(func(sc *scenario, a args) error {
		return sc.atMostOnce(a)
	}),
	"audit":    command(func(sc *scenario, a args) error { return sc.audit(a) }),
	"inforce":  command(func(sc *scenario, a args) error { return sc.inForce(a) }),
	"traffic":  command(func(sc *scenario, a args) error { return sc.traffic(a) }),
	"again":    command(func(sc *scenario, a args) error { return sc.again(a) }),
	"settled":  command(func(sc *scenario, a args) error { return sc.settled(a) }),
	"loaded":   command(func(sc *scenario, a args) error { return sc.loaded(a) }),
	"publish":  command(func(sc *scenario, a args) error { return sc.publish(a) }),
	"cut":      command(func(sc *scenario, a args) error { return sc.cut(a) }),
	"heal":     command(func(sc *scenario, a args) error { return sc.heal(a) }),
	"newwork":  command(func(sc *scenario, a args) error { return sc.newWork(a) }),
	"appends":  command(func(sc *scenario, a args) error { return sc.appends(a) }),
	"control":  command(func(sc *scenario, a args) error { return sc.controlBytes(a) }),
	"monotone": command(func(sc *scenario, a args) error { return sc.monotone(a) }),
}

// args holds the arguments of a command: positional ones, and named ones of the form name=value.
type args struct {
	positional []string
	named      map[string]string
}

// command adapts f to a testscript command. Negation by "!" is not supported.
func command(f func(*scenario, args) error) func(*testscript.TestScript, bool, []string) {
	return func(t *testscript.TestScript, negated bool, list []string) {
		if negated {
			t.Fatalf("scenario commands can't be negated with !")
		}
		a := args{named: make(map[string]string)}
		for _, x := range list {
			if k, v, ok := strings.Cut(x, "="); ok && !strings.HasPrefix(x, "{") {
				a.named[k] = v
			} else {
				a.positional = append(a.positional, x)
			}
		}
		sc := t.Value(scenarioKey{}).(*scenario)
		if err := f(sc, a); err != nil {
			sc.commandErrors = append(sc.commandErrors, err.Error())
			t.Fatalf("%v", err)
		}
	}
}

func (a args) number(name string, fallback int) int {
	if n, err := strconv.Atoi(a.named[name]); err == nil {
		return n
	}
	return fallback
}

func (a args) text(name, fallback string) string {
	if v, ok := a.named[name]; ok {
		return v
	}
	return fallback
}

func (a args) duration(name string, fallback time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.named[name]); err == nil {
		return d
	}
	return fallback
}

func platform(sc *scenario, a args) error {
	sc.oneWayLatency = a.named["oneWay"]
	if a.named["links"] == "relayed" {
		sc.links = newLinks()
	}
	if keep, ok := a.named["logKeeps"]; ok {
		sc.logArgs = []string{"--keep-records", keep}
	}
	if rate, ok := a.named["logRate"]; ok {
		sc.logArgs = append(sc.logArgs, "--appends", rate)
	}
	if every, ok := a.named["snapshots"]; ok {
		sc.extraSettings = fmt.Sprintf("snapshotInterval = %q\n", every)
	}
	var engineFlags []string
	for k, v := range a.named {
		if flag, ok := strings.CutPrefix(k, "--"); ok {
			engineFlags = append(engineFlags, "--"+flag+"="+v)
		}
	}
	return sc.startPlatform(a.number("engines", 3), a.number("services", 1), strings.Split(a.text("centres", "colombo,galle,matara"), ","), engineFlags)
}

// daemons N starts those of host1 to hostN that are not running, and waits until all are ready and each cell and key range has a
// holder. With inOrder=yes each host is registered before the next is started: a change needs a majority of each member set of
// the last day, so the order of registration determines which hosts can publish while links are cut.
func daemons(sc *scenario, a args) error {
	n, err := strconv.Atoi(a.positional[0])
	if err != nil {
		return err
	}
	for i := range n {
		name := fmt.Sprintf("host%d", i+1)
		if sc.running(name) {
			continue
		}
		if err := sc.startDaemon(name, i); err != nil {
			return err
		}
		if a.named["inOrder"] == "yes" && i < n-1 {
			if err := sc.awaitRegistered(i + 1); err != nil {
				return err
			}
		}
	}
	return sc.settled(a)
}

// awaitRegistered waits until host1 is current and lists at least count hosts.
func (sc *scenario) awaitRegistered(count int) error {
	return await(readyTimeout, func() error {
		var list []wire.HostReport
		if err := sc.request(http.MethodGet, "host1", "/v1/hosts", nil, &list); err != nil {
			return err
		}
		if len(list) < count || !list[0].Current {
			return fmt.Errorf("host1 lists %d of %d hosts, or is not current", len(list), count)
		}
		return nil
	})
}

// settled waits until every running host reports that it is ready, that each cell with engines has a controller that has not
// released it, and that each key range has a holder and a backup. These must be running hosts; a single running host needs no
// backup. It fails if this takes longer than within=20s.
func (sc *scenario) settled(a args) error {
	return await(a.duration("within", readyTimeout), func() error {
		var all []wire.Status
		running := make(map[string]bool)
		for _, name := range sc.processNames("host") {
			if !sc.running(name) {
				continue
			}
			var s wire.Status
			if err := sc.request(http.MethodGet, name, "/v1/status", nil, &s); err != nil {
				return err
			}
			running[s.Incarnation] = true
			all = append(all, s)
		}
		for _, s := range all {
			if err := sc.checkStatus(s, running); err != nil {
				return fmt.Errorf("%s: %w", s.Host, err)
			}
		}
		return nil
	})
}

func (sc *scenario) checkStatus(s wire.Status, running map[string]bool) error {
	if !s.Ready {
		return fmt.Errorf("not ready: %s", s.Reason)
	}
	held := make(map[string]bool)
	for _, c := range s.Cells {
		held[c.Cell] = !c.Released && running[c.Holder]
	}
	for _, h := range sc.hosts {
		if h.Kind == wire.KindEngine && !held[h.DataCentre] {
			return fmt.Errorf("cell %s has no controller", h.DataCentre)
		}
	}
	for _, k := range s.KeyRanges {
		if !running[k.Holder] || len(running) > 1 && !running[k.Backup] {
			return fmt.Errorf("%d key ranges have holder %q and backup %q", k.Ranges, k.Holder, k.Backup)
		}
	}
	return nil
}

func (sc *scenario) running(name string) bool {
	p := sc.proc(name)
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
func configure(sc *scenario, a args) error {
	if err := sc.putAndAwait("host1", "templates/booking", wire.TemplateChange{Template: spec.Template{
		Name: "booking", Kind: spec.ServiceTemplate, Service: &spec.Service{Repeatable: []string{"GET"}, TimeoutMillis: 5000},
	}}); err != nil {
		return err
	}
	for i := range a.number("models", 1) {
		name := fmt.Sprintf("m%d", i+1)
		if err := sc.putAndAwait("host1", "templates/"+name, wire.TemplateChange{Template: modelTemplate(a, name)}); err != nil {
			return err
		}
	}
	digest := sha256.Sum256([]byte(apiKey))
	return sc.putAndAwait("host1", "teams/fitters", wire.TeamChange{Team: spec.Team{
		Name: "fitters", KeyDigests: []string{hex.EncodeToString(digest[:])}, Models: []string{"*"}, Adapters: []string{"*"},
		Services: []string{"*"}, Urgency: spec.Normal, DeadlineMillis: 20000,
	}})
}

func (sc *scenario) putAndAwait(host, path string, body any) error {
	var done wire.Change
	if err := sc.request(http.MethodPut, host, "/v1/"+path, body, &done); err != nil {
		return err
	}
	return sc.inForce(args{named: map[string]string{"offset": strconv.FormatInt(done.Offset, 10)}})
}

// rule NAME FAILURE records that the script checks the rule under the failure, for the table of results.
func rule(sc *scenario, a args) error {
	sc.rules = append(sc.rules, [2]string{a.positional[0], a.positional[1]})
	return nil
}

// chat NAME HOST MODEL starts a streamed call in the background.
func chat(sc *scenario, a args) error {
	header := http.Header{}
	for _, f := range []string{"X-Urgency", "X-Request-Timeout"} {
		if v, ok := a.named[f]; ok {
			header.Set(f, v)
		}
	}
	sc.calls[a.positional[0]] = sc.chat(a.positional[1], a.positional[2], a.text("prompt", a.positional[0]), a.number("tokens", 40), header)
	return nil
}

// book NAME HOST KEY starts a booking in the background.
func book(sc *scenario, a args) error {
	sc.calls[a.positional[0]] = sc.book(a.positional[1], a.positional[2], a.text("body", "visit"))
	return nil
}

// expect NAME RESULT... waits for a call and checks that it has one of the results: whole, refused, broken, unknown, notRun, ended
// or a result code.
func expect(sc *scenario, a args) error {
	c := sc.calls[a.positional[0]]
	select {
	case <-c.done:
	case <-time.After(a.duration("within", time.Minute)):
		return fmt.Errorf("call %s has not ended in time", a.positional[0])
	}
	for _, want := range a.positional[1:] {
		switch {
		case want == "whole" && c.complete, want == "refused" && c.code > 0, want == "unknown" && c.outcome == "unknown",
			want == "notRun" && c.outcome == "notRun", want == "ended", want == "broken" && !c.complete && c.code != 0,
			want == strconv.Itoa(c.code):
			return nil
		}
	}
	return fmt.Errorf("call %s: complete %t, code %d, outcome %s, %s, after %s; want %v",
		a.positional[0], c.complete, c.code, c.outcome, c.detail, c.duration, a.positional[1:])
}

// crash NAME kills a process with SIGKILL.
func crash(sc *scenario, a args) error {
	p := sc.proc(a.positional[0])
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.done
	return nil
}

// signalProc implements the command signal STOP|CONT|TERM NAME...: it sends the signal to each of the processes.
func signalProc(sc *scenario, a args) error {
	s := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}[a.positional[0]]
	for _, n := range a.positional[1:] {
		if err := sc.proc(n).cmd.Process.Signal(s); err != nil {
			return err
		}
	}
	return nil
}

// restart NAME... starts daemons again, as new incarnations at their previous addresses.
func restart(sc *scenario, a args) error {
	for _, n := range a.positional {
		if err := sc.startDaemon(n, 0); err != nil {
			return err
		}
	}
	return nil
}

// planned NAME... stops daemons one after the other with SIGTERM and checks that each exits with 0. With replace=yes each is
// started again before the next is stopped.
func planned(sc *scenario, a args) error {
	for _, n := range a.positional {
		p := sc.proc(n)
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
			return fmt.Errorf("%s did not stop within %s", n, stopTimeout)
		}
		if p.exitCode != 0 {
			return fmt.Errorf("%s exited with %d", n, p.exitCode)
		}
		if a.named["replace"] == "yes" {
			if err := sc.startDaemon(n, 0); err != nil {
				return err
			}
			if err := sc.settled(a); err != nil {
				return err
			}
		}
	}
	return nil
}

// fault NAME JSON replaces the faults of a stand-in.
func fault(sc *scenario, a args) error {
	return sc.request(http.MethodPost, a.positional[0], "/faults", json.RawMessage(a.positional[1]), nil)
}

// listed NAME STATE sets the state of a host in the host list.
func listed(sc *scenario, a args) error {
	return sc.request(http.MethodPost, "hosts", "/v1/hosts/"+a.positional[0]+"/state", map[string]string{"state": a.positional[1]}, nil)
}

func pause(_ *scenario, a args) error {
	d, err := time.ParseDuration(a.positional[0])
	time.Sleep(d)
	return err
}

// ready NAME yes|no waits until a host reports that it is ready, or not ready.
func ready(sc *scenario, a args) error {
	return await(a.duration("within", readyTimeout), func() error {
		var s wire.Status
		if err := sc.request(http.MethodGet, a.positional[0], "/v1/status", nil, &s); err != nil {
			return err
		}
		if s.Ready != (a.positional[1] == "yes") {
			return fmt.Errorf("%s: ready is %t: %s", a.positional[0], s.Ready, s.Reason)
		}
		return nil
	})
}
