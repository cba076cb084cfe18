//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// started holds the hosts whose processes have to be ended.
var started []*host

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "stand: "+format+"\n", args...)
	finish(notRun)
}

// finish ends all processes that were started and exits.
func finish(code int) {
	for _, h := range started {
		h.kill()
	}
	os.Exit(code)
}

func main() {
	if len(os.Args) != 3 {
		fail("usage: stand CASE FOLDER")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("folder: %v", err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		finish(notRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord(os.Args[2] + "/record.txt")
	code := notRun
	switch os.Args[1] {
	case "poison":
		code = runPoison(dir, r, trouble, poison{servers: 1, events: 45, gap: 40 * time.Millisecond})
	case "poison-late-head":
		code = runPoison(dir, r, trouble, poison{servers: 1, events: 31, gap: 40 * time.Millisecond, lateHead: true})
	case "poison-one-event":
		code = runPoison(dir, r, trouble, poison{servers: 1, events: 31, gap: 40 * time.Millisecond, oneEvent: true})
	case "poison-themes":
		code = runPoison(dir, r, trouble, poison{servers: 2, events: 31, gap: 60 * time.Millisecond, themes: themes, resigned: true})
	default:
		fail("unknown case %q", os.Args[1])
	}
	for _, h := range started {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}
