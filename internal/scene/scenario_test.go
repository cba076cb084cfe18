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

var scenarioCount atomic.Int64

const (
	apiKey       = "scene-key"
	readyTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
)

type (
	scenarioKey struct{}

	// scenario holds the processes and calls of one running script.
	scenario struct {
		env           *testscript.Env
		number        int64 // in the loopback addresses of the daemons
		binary        string
		mu            sync.Mutex
		procs         map[string]*proc
		logArgs       []string
		extraSettings string // appended to the platform section of each daemon's settings
		hosts         []wire.Host
		dataCentres   []string
		oneWayLatency string
		calls         map[string]*call
		rules         [][2]string // pairs of rule and failure
		commandErrors []string
		monitor       *statusMonitor
		workloads     map[string]*workload
		links         *links // nil when daemons connect to each other directly
		logEnd        int64  // end of the log at logCountedAt
		logCountedAt  time.Time
	}

	proc struct {
		cmd             *exec.Cmd
		address         string // address of a stand-in, or of the callers' API of a daemon
		operatorAddress string
		settingsFile    string
		relay           *relay
		done            chan struct{}
		exitCode        int
	}
)

func newScenario(e *testscript.Env) *scenario {
	path := ""
	for _, v := range e.Vars {
		if rest, ok := strings.CutPrefix(v, "PATH="); ok {
			path = rest
		}
	}
	return &scenario{
		env: e, number: scenarioCount.Add(1) % 250, binary: filepath.Join(strings.Split(path, string(os.PathListSeparator))[0], "fireflycleat"),
		procs: make(map[string]*proc), calls: make(map[string]*call),
		workloads: make(map[string]*workload),
	}
}

// close kills all processes of the scenario and records the results.
func (sc *scenario) close() {
	if sc.links != nil {
		close(sc.links.closed)
	}
	for _, p := range sc.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	failed := sc.env.T().(interface{ Failed() bool }).Failed()
	if sc.raceDetected() {
		failed = true
		sc.env.T().Log("a daemon reported a data race")
		sc.env.T().(interface{ Fail() }).Fail()
	}
	if failed {
		sc.showLogs()
	}
	for _, r := range sc.rules {
		table.add(r[0], r[1], failed || len(sc.commandErrors) > 0)
	}
}

// raceDetected reports whether the race detector found a data race in a daemon.
func (sc *scenario) raceDetected() bool {
	for _, name := range sc.processNames("host") {
		b, err := os.ReadFile(filepath.Join(sc.env.WorkDir, name+".log"))
		if err == nil && bytes.Contains(b, []byte("DATA RACE")) {
			return true
		}
	}
	return false
}

// showLogs prints the last lines of the daemons' logs. A report of the race detector is printed from its start, because its first
// lines name the two accesses.
func (sc *scenario) showLogs() {
	for _, name := range sc.processNames("host") {
		b, err := os.ReadFile(filepath.Join(sc.env.WorkDir, name+".log"))
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(b)), "\n")
		from := max(0, len(lines)-25)
		if i := slices.Index(lines, "WARNING: DATA RACE"); i >= 0 {
			from = min(from, i)
		}
		sc.env.T().Log(name + ":\n" + strings.Join(lines[from:], "\n"))
	}
}

// start runs the program as the given process. A process without a settings file is a stand-in, which prints its address.
func (sc *scenario) start(name string, p *proc, args ...string) (*proc, error) {
	c := exec.Command(sc.binary, args...)
	c.Dir = sc.env.WorkDir
	c.Env = sc.env.Vars
	log, err := os.Create(filepath.Join(sc.env.WorkDir, name+".log"))
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
	if p.settingsFile == "" {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, fmt.Errorf("%s exited without printing its address: %w", name, err)
		}
		p.address = strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
	}
	go func() {
		_, _ = io.Copy(io.Discard, r)
		_ = c.Wait()
		p.exitCode = c.ProcessState.ExitCode()
		_ = log.Close()
		if p.relay != nil {
			_ = p.relay.listener.Close()
		}
		close(p.done)
	}()
	sc.mu.Lock()
	sc.procs[name] = p
	sc.mu.Unlock()
	return p, nil
}

// startPlatform starts the stand-ins: log, store, host list, engines and services spread over the data centres.
func (sc *scenario) startPlatform(engines, services int, dataCentres []string, engineFlags []string) error {
	sc.dataCentres = dataCentres
	if _, err := sc.start("log", &proc{}, append(append([]string{"standin", "log"}, sc.logArgs...), sc.latency()...)...); err != nil {
		return err
	}
	store, err := sc.start("store", &proc{}, "standin", "store")
	if err != nil {
		return err
	}
	for i := range engines {
		name := fmt.Sprintf("engine%d", i+1)
		checks := i%2 == 0
		args := append([]string{
			"standin", "engine", "--name", name, "--store", store.address, fmt.Sprintf("--checks-fence=%t", checks),
		}, append(sc.latency(), engineFlags...)...)
		p, err := sc.start(name, &proc{}, args...)
		if err != nil {
			return err
		}
		sc.hosts = append(sc.hosts, wire.Host{
			Name: name, Address: p.address, DataCentre: dataCentres[i%len(dataCentres)], Kind: wire.KindEngine, State: wire.HostLive, ChecksFence: checks,
		})
	}
	for i := range services {
		name := fmt.Sprintf("service%d", i+1)
		p, err := sc.start(name, &proc{}, append([]string{"standin", "service"}, sc.latency()...)...)
		if err != nil {
			return err
		}
		sc.hosts = append(sc.hosts, wire.Host{
			Name: name, Address: p.address, DataCentre: dataCentres[i%len(dataCentres)], Kind: wire.KindService, Service: "booking", State: wire.HostLive,
		})
	}
	if _, err := sc.start("hosts", &proc{}, "standin", "hosts", "--lag", "2s"); err != nil {
		return err
	}
	return sc.request(http.MethodPut, "hosts", "/v1/hosts", wire.HostList{Hosts: sc.hosts}, nil)
}

func (sc *scenario) latency() []string {
	if sc.oneWayLatency == "" {
		return nil
	}
	return []string{"--one-way", sc.oneWayLatency}
}

// startDaemon starts a daemon at unused addresses, or with its previous addresses and settings if it ran before.
func (sc *scenario) startDaemon(name string, index int) error {
	previous := sc.proc(name)
	if previous != nil {
		restarted := &proc{address: previous.address, operatorAddress: previous.operatorAddress, settingsFile: previous.settingsFile, relay: previous.relay}
		if restarted.relay != nil {
			if err := restarted.relay.listen(); err != nil {
				return err
			}
		}
		_, err := sc.start(name, restarted, "serve", "--config", previous.settingsFile)
		return err
	}
	// Each scenario has loopback addresses of its own: a free port of a shared address could be taken before the daemon binds it.
	var addresses [4]string
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%128, sc.number, index+1, 7001+i)
	}
	dataCentre := sc.dataCentres[index%len(sc.dataCentres)]
	text := fmt.Sprintf("[host]\nname = %q\ndataCentre = %q\n[listen]\ntraffic = %q\npeers = %q\noperator = %q\n"+
		"[caller]\naddressLifetime = \"2s\"\n[platform]\nlog = %q\nhostList = %q\n%s[telemetry]\nlogLevel = \"debug\"\n",
		name, dataCentre, addresses[0], addresses[1], addresses[2], sc.procs["log"].address, sc.procs["hosts"].address, sc.extraSettings)
	p := &proc{address: addresses[0], operatorAddress: addresses[2]}
	if sc.links != nil {
		p.relay = &relay{links: sc.links, name: name, address: addresses[3], target: addresses[1]}
		if err := p.relay.listen(); err != nil {
			return err
		}
		text += fmt.Sprintf("[advertise]\npeers = %q\n", addresses[3])
		addresses[1] = addresses[3]
	}
	file := filepath.Join(sc.env.WorkDir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p.settingsFile = file
	if _, err := sc.start(name, p, "serve", "--config", file); err != nil {
		return err
	}
	return sc.request(http.MethodPut, "hosts", "/v1/hosts/"+name, wire.Host{
		Name: name, Address: addresses[1], DataCentre: dataCentre, Kind: wire.KindEntry, State: wire.HostLive,
	}, nil)
}

// request sends a JSON request to a stand-in, or to a daemon's operators' API, and decodes the response into result unless it is nil.
func (sc *scenario) request(method, name, path string, body, result any) error {
	p := sc.proc(name)
	if p == nil {
		return fmt.Errorf("process %s was not started", name)
	}
	address := p.address
	if p.operatorAddress != "" {
		address = p.operatorAddress
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
	response, err := c.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s%s: %s: %s", method, name, path, response.Status, b)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(b, result)
}

// await polls until check returns nil. After the limit it returns the last error of check.
func await(limit time.Duration, check func() error) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %s: %w", limit, err)
		}
	}
}

func (sc *scenario) proc(name string) *proc {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.procs[name]
}

func (sc *scenario) processNames(prefix string) []string {
	var found []string
	for i := 1; ; i++ {
		n := fmt.Sprintf("%s%d", prefix, i)
		if sc.proc(n) == nil {
			return found
		}
		found = append(found, n)
	}
}
