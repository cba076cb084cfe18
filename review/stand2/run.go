//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	modelName    = "m1"
	adapterSlots = 8
	adapterCount = 72
	hostName     = "apps.example"
	startTime    = 20 * time.Second // limit on the start of all hosts
	hostEndTime  = 9 * time.Second  // limit on the end of a host after SIGTERM
	hostMemoryMB = 284
)

type (
	// run holds the processes and stand-ins of one case.
	run struct {
		dir    string
		began  time.Time
		store  *store
		hosts  []*host
		mu     sync.Mutex
		record io.Writer
		orders []given
		lossy  string // host whose link to lossyEngine loses packets; empty for none
	}

	// host is a process of the system.
	host struct {
		name, zone                         string
		traffic, ready, directory, control string
		settings                           string
		link                               *link
		cmd                                *exec.Cmd
		done                               chan struct{}
	}
)

// listen opens a listener on a free port of a loopback address.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

// freeAddress returns an address to listen on. It is on a loopback address of its own, because a free port of one that others use may be assigned
// to an outgoing connection before a host listens on it.
func freeAddress() string {
	ip := net.IPv4(127, byte(128+rand.IntN(127)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
	if err != nil {
		fail("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// fail ends the run as one that could not be made.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

// log writes a line with the time since the start to the record.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(time.Now(), format, args...)
}

func (r *run) logLocked(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.record, "%8.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) recordOrder(o given) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
	r.logLocked(o.at, "order at %s from %s: fence %d, %s, answered %d", o.engine, o.holder, o.fence, o.what, o.status)
}

// lastHolder returns the host that gave the last order, or nil.
func (r *run) lastHolder() *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.orders) == 0 {
		return nil
	}
	name := r.orders[len(r.orders)-1].holder
	if i := slices.IndexFunc(r.hosts, func(h *host) bool { return h.name == name }); i >= 0 {
		return r.hosts[i]
	}
	return nil
}

// addHost prepares a host with settings as the platform fills them in from the template of the deploy file.
func (r *run) addHost(name, zone string, fenced bool) *host {
	h := &host{
		name: name, zone: zone, traffic: freeAddress(), ready: freeAddress(), directory: freeAddress(), control: freeAddress(),
		link: newLink(r.store.address()), settings: filepath.Join(r.dir, name+".toml"),
	}
	r.hosts = append(r.hosts, h)
	text := fmt.Sprintf(`[host]
name = %q
dataCentre = %q
cores = 0.4
coreSpeed = 1
memoryMB = %d
linkMbps = 1000.0
maxFiles = 4200
bootstrap = true

[listen]
traffic = %q
ready = %q
directory = %q
peers = %q
metrics = %q

[platform]
address = %q
seeds = []

[limits]
graceS = 8
leaseMS = 3000
repeatRatio = 0.2
repeatWindowS = 10
repeatExtra = 52
requireFence = %v
configMS = 2000
leaveMS = 2000
contactMS = 3000
loadWindowS = 5
`, name, zone, hostMemoryMB, h.traffic, h.ready, h.directory, h.control, freeAddress(), h.link.address(), fenced)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	return h
}

// start starts the process of the host.
func (h *host) start(r *run) {
	if err := h.launch(r.dir); err != nil {
		fail("start of %s: %v", h.name, err)
	}
	r.log("%s starts, process %d", h.name, h.cmd.Process.Pid)
}

func (h *host) launch(dir string) error {
	processes.Lock()
	defer processes.Unlock()
	out, err := os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.log", h.name, time.Now().UnixMilli())))
	if err != nil {
		return err
	}
	cmd, done := exec.Command("target/fireflycleat", "host"), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "FIREFLYCLEAT_CONFIG=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// awaitEnd waits for the end of the process, and kills it after the grace time.
func (h *host) awaitEnd() {
	select {
	case <-h.done:
	case <-time.After(hostEndTime):
		h.signal(syscall.SIGKILL)
		<-h.done
	}
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	a, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (r *run) awaitReady() {
	for until := time.Now().Add(startTime); ; time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(r.hosts, func(h *host) bool { return !h.isReady() }) {
			return
		}
		if time.Now().After(until) {
			r.logHosts()
			fail("hosts are not ready after %v", startTime)
		}
	}
}

// logHosts writes the logs of the hosts to the record.
func (r *run) logHosts() {
	files, _ := filepath.Glob(filepath.Join(r.dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		r.log("%s:\n%s", filepath.Base(file), data)
	}
}

// send sends a request of a client with its own connection, and returns the status or zero, and the body.
func (h *host) send(ctx context.Context, method, path, id, body string, header ...string) (int, string, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+h.traffic+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	q.Host = hostName
	q.Header.Set("Request-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	a, err := (&http.Client{Transport: t}).Do(q)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	return a.StatusCode, string(data), err
}
