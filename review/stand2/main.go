//go:build review2

// Command stand2 runs the cases of the second review: it starts stand-ins of the platform and hosts of the system as processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

var current *run

// cleanUp ends all processes that the run started.
func cleanUp() {
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
