//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is what the deploy file starts on each machine, relative to the root of the repository.
const program = "target/fireflycleat"

// host is one process of the system.
type host struct {
	name, zone, file, ip           string
	traffic, ready, directory, own string
	command                        *exec.Cmd
	log                            *os.File
	starts                         int
}

// settings are the figures that the settings file of each host states, in the names of deploy/settings.toml.
type settings struct {
	memoryMB  int
	leaveMS   int
	configMS  int
	contactMS int
}

// newHost writes the settings file of a host with addresses of its own on loopback.
func newHost(dir, name, zone string, number int, s settings, storeAddress string, seeds []string) *host {
	h := &host{name: name, zone: zone, file: filepath.Join(dir, name+".toml"), ip: hostIP(number)}
	h.traffic, h.ready, h.directory, h.own = h.ip+":8149", h.ip+":8141", h.ip+":8143", h.ip+":8144"
	quoted := make([]string, len(seeds))
	for i, x := range seeds {
		quoted[i] = fmt.Sprintf("%q", x)
	}
	text := fmt.Sprintf(`[host]
name = %q
dataCentre = %q
cores = 0.4
coreSpeed = 1
memoryMB = %d
bootstrap = true
[listen]
traffic = %q
ready = %q
directory = %q
peers = %q
metrics = "%s:9464"
[platform]
address = %q
seeds = [%s]
[limits]
graceS = 8
leaseMS = 3000
repeatRatio = 0.2
repeatWindowS = 10
repeatExtra = 52
requireFence = true
configMS = %d
leaveMS = %d
contactMS = %d
loadWindowS = 5
`, name, zone, s.memoryMB, h.traffic, h.ready, h.directory, h.own, h.ip, storeAddress, strings.Join(quoted, ", "), s.configMS, s.leaveMS, s.contactMS)
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	return h
}

// hostIP returns the loopback address of a host. The process id keeps two runs at once apart.
func hostIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid>>8%200, pid%250+1, number+1)
}

// start starts the process of the host as the deploy file does.
func (h *host) start(dir string) {
	if h.log == nil {
		l, err := os.Create(filepath.Join(dir, h.name+".log"))
		if err != nil {
			fail("log: %v", err)
		}
		h.log = l
	}
	c := exec.Command(program, "host")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "FIREFLYCLEAT_CONFIG=" + h.file}
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		fail("start of %s: %v", h.name, err)
	}
	h.command = c
	h.starts++
}

// kill ends the process at once.
func (h *host) kill() {
	if h.command == nil {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGKILL)
	_ = h.command.Wait()
	h.command = nil
}

// isReady asks the host whether it is ready, as the platform does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of the process in MB.
func (h *host) residentMB() float64 {
	if h.command == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb float64
			_, _ = fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, h := range hosts {
			ready = ready && h.isReady()
		}
		if ready {
			return
		}
	}
	fail("the hosts are not ready after 15 s")
}

// freePort reports whether nothing listens at the address.
func freePort(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}
