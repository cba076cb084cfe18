//go:build review2

// Command stand2 runs the cases of the second review: it starts stand-ins of the platform and hosts of the system as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxRunTime is the time after which a run ends as one that could not be made.
const maxRunTime = 108 * time.Second

var (
	current *run
	// processes is held while a host is started, and for good once the hosts are ended.
	processes sync.Mutex
)

// cleanUp ends all processes that the run started, and lets none start any more.
func cleanUp() {
	processes.Lock()
	if current == nil {
		return
	}
	for _, h := range current.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGKILL)
			<-h.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(current.dir)
	}
}

func main() {
	cases := map[string]func(r *run, trouble bool) bool{"turns": runTurns, "late": runLate}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: stand2 CASE RECORD")
	}
	record, err := os.Create(filepath.Clean(os.Args[2]))
	if err != nil {
		fail("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fail("folder: %v", err)
	}
	current = &run{dir: dir, began: time.Now(), record: record, store: newStore()}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-ended:
			fail("ended by signal %v", s)
		case <-time.After(maxRunTime):
			fail("not finished after %v", maxRunTime)
		}
	}()
	held := cases[os.Args[1]](current, os.Getenv("TROUBLE") != "0")
	cleanUp()
	if !held {
		current.log("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	current.log("the rule held")
	fmt.Println("the rule held")
}
