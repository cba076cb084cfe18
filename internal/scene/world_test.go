package scene

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

var worlds atomic.Int64

const (
	apiKey       = "scene-key"
	readyTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
)

type (
	worldKey struct{}

	// world is the processes of one scenario.
	world struct {
		env     *testscript.Env
		number  int64
		binary  string
		mu      sync.Mutex
		procs   map[string]*proc
		logArgs []string
		extra   string // Extra is added to the settings of each daemon.
		hosts   []wire.Host
		centres []string
		oneWay  string
		calls   map[string]*call
		rules   [][2]string
		broken  []string
		watch   *watch
		loads   map[string]*load
		links   *links // Links is nil where daemons reach each other directly.
		logEnd  int64  // LogEnd is the end of the log at logCounted.

		logCounted time.Time
	}

	proc struct {
		cmd      *exec.Cmd
		address  string // Address of a stand-in, or of a daemon's callers' API.
		operator string
		settings string
		relay    *relay
		done     chan struct{}
		code     int
	}
)

func newWorld(e *testscript.Env) *world {
	path := ""
	for _, v := range e.Vars {
		if rest, ok := strings.CutPrefix(v, "PATH="); ok {
			path = rest
		}
	}
	return &world{
		env: e, number: worlds.Add(1) % 250, binary: filepath.Join(strings.Split(path, string(os.PathListSeparator))[0], "fireflycleat"),
		procs: make(map[string]*proc), calls: make(map[string]*call),
		loads: make(map[string]*load),
	}
}

// close ends all processes by their own ids and records the results.
func (w *world) close() {
	if w.links != nil {
		close(w.links.ended)
	}
	for _, p := range w.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	failed := w.env.T().(interface{ Failed() bool }).Failed()
	if w.raced() {
		failed = true
		w.env.T().Log("a daemon reported a data race")
		w.env.T().(interface{ Fail() }).Fail()
	}
	if failed {
		w.showLogs()
	}
	for _, r := range w.rules {
		table.add(r[0], r[1], failed || len(w.broken) > 0)
	}
}

// raced reports whether the race detector found something in a daemon.
func (w *world) raced() bool {
	for _, name := range w.names("host") {
		b, err := os.ReadFile(filepath.Join(w.env.WorkDir, name+".log"))
		if err == nil && bytes.Contains(b, []byte("DATA RACE")) {
			return true
		}
	}
	return false
}

// showLogs prints the last lines of the daemons' logs after a failure. A report of the race detector is printed whole,
// because its first lines name the two accesses.
func (w *world) showLogs() {
	for _, name := range w.names("host") {
		b, err := os.ReadFile(filepath.Join(w.env.WorkDir, name+".log"))
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(b)), "\n")
		from := max(0, len(lines)-25)
		if i := slices.Index(lines, "WARNING: DATA RACE"); i >= 0 {
			from = min(from, i)
		}
		w.env.T().Log(name + ":\n" + strings.Join(lines[from:], "\n"))
	}
}

// start runs the program as the given process. A stand-in has no settings file and prints its address.
func (w *world) start(name string, p *proc, args ...string) (*proc, error) {
	c := exec.Command(w.binary, args...)
	c.Dir = w.env.WorkDir
	c.Env = w.env.Vars
	log, err := os.Create(filepath.Join(w.env.WorkDir, name+".log"))
	if err != nil {
		return nil, err
	}
	c.Stderr = log
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p.cmd, p.done = c, make(chan struct{})
	r := bufio.NewReader(out)
	if p.settings == "" {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, fmt.Errorf("%s did not start: %w", name, err)
		}
		p.address = strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
	}
	go func() {
		_, _ = io.Copy(io.Discard, r)
		_ = c.Wait()
		p.code = c.ProcessState.ExitCode()
		_ = log.Close()
		if p.relay != nil {
			_ = p.relay.listener.Close()
		}
		close(p.done)
	}()
	w.mu.Lock()
	w.procs[name] = p
	w.mu.Unlock()
	return p, nil
}

// platform starts the stand-ins: log, store, host list, engines and services spread over the data centres.
func (w *world) platform(engines, services int, centres []string, extra []string) error {
	w.centres = centres
	if _, err := w.start("log", &proc{}, append(append([]string{"standin", "log"}, w.logArgs...), w.latency()...)...); err != nil {
		return err
	}
	store, err := w.start("store", &proc{}, "standin", "store")
	if err != nil {
		return err
	}
	for i := range engines {
		name := fmt.Sprintf("engine%d", i+1)
		checks := i%2 == 0
		args := append([]string{
			"standin", "engine", "--name", name, "--store", store.address, fmt.Sprintf("--checks-fence=%t", checks),
		}, append(w.latency(), extra...)...)
		p, err := w.start(name, &proc{}, args...)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, wire.Host{
			Name: name, Address: p.address, DataCentre: centres[i%len(centres)], Kind: wire.KindEngine, State: wire.HostLive, ChecksFence: checks,
		})
	}
	for i := range services {
		name := fmt.Sprintf("service%d", i+1)
		p, err := w.start(name, &proc{}, append([]string{"standin", "service"}, w.latency()...)...)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, wire.Host{
			Name: name, Address: p.address, DataCentre: centres[i%len(centres)], Kind: wire.KindService, Service: "booking", State: wire.HostLive,
		})
	}
	if _, err := w.start("hosts", &proc{}, "standin", "hosts", "--lag", "2s"); err != nil {
		return err
	}
	return w.request(http.MethodPut, "hosts", "/v1/hosts", wire.HostList{Hosts: w.hosts}, nil)
}

func (w *world) latency() []string {
	if w.oneWay == "" {
		return nil
	}
	return []string{"--one-way", w.oneWay}
}

// daemon starts a daemon on free ports; one that was started before gets its old ports and settings again.
func (w *world) daemon(name string, index int) error {
	old := w.proc(name)
	if old != nil {
		again := &proc{address: old.address, operator: old.operator, settings: old.settings, relay: old.relay}
		if again.relay != nil {
			if err := again.relay.listen(); err != nil {
				return err
			}
		}
		_, err := w.start(name, again, "serve", "--config", old.settings)
		return err
	}
	// Each scenario has loopback addresses of its own, since a free port of a shared address may be taken before it is used.
	var free [4]string
	for i := range free {
		free[i] = fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%128, w.number, index+1, 7001+i)
	}
	centre := w.centres[index%len(w.centres)]
	text := fmt.Sprintf("[host]\nname = %q\ndataCentre = %q\n[listen]\ntraffic = %q\npeers = %q\noperator = %q\n"+
		"[caller]\naddressLifetime = \"2s\"\n[platform]\nlog = %q\nhostList = %q\n%s[telemetry]\nlogLevel = \"debug\"\n",
		name, centre, free[0], free[1], free[2], w.procs["log"].address, w.procs["hosts"].address, w.extra)
	p := &proc{address: free[0], operator: free[2]}
	if w.links != nil {
		p.relay = &relay{links: w.links, name: name, address: free[3], target: free[1]}
		if err := p.relay.listen(); err != nil {
			return err
		}
		text += fmt.Sprintf("[advertise]\npeers = %q\n", free[3])
		free[1] = free[3]
	}
	file := filepath.Join(w.env.WorkDir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p.settings = file
	if _, err := w.start(name, p, "serve", "--config", file); err != nil {
		return err
	}
	return w.request(http.MethodPut, "hosts", "/v1/hosts/"+name, wire.Host{
		Name: name, Address: free[1], DataCentre: centre, Kind: wire.KindEntry, State: wire.HostLive,
	}, nil)
}

// request sends a JSON request to a stand-in, or to a daemon's operators' API, and decodes the answer into into.
func (w *world) request(method, name, path string, body, into any) error {
	p := w.proc(name)
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	address := p.address
	if p.operator != "" {
		address = p.operator
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	c := http.Client{Timeout: 15 * time.Second}
	answer, err := c.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s%s: %s: %s", method, name, path, answer.Status, b)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(b, into)
}

// await polls until the check holds.
func await(limit time.Duration, check func() error) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s: %w", limit, err)
		}
	}
}

func (w *world) proc(name string) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.procs[name]
}

func (w *world) names(prefix string) []string {
	var found []string
	for i := 1; ; i++ {
		n := fmt.Sprintf("%s%d", prefix, i)
		if w.proc(n) == nil {
			return found
		}
		found = append(found, n)
	}
}
