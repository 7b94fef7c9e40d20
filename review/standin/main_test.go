// Package standin plays the cases of the review: it starts the system's processes with the command of the deploy file and
// stands in for the platform's store, the runners and the requesters. It is a test program without tests of its own, so
// that the default test run plays no case; review/build.sh builds it.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var (
	// root is the repository's root, dir the case's folder and work a temporary folder.
	root, dir, work string
	// trouble is false if TROUBLE=0: the case runs without its disruption.
	trouble = os.Getenv("TROUBLE") != "0"
	started []*os.Process

	began    = time.Now()
	recordMu sync.Mutex
	recordTo *os.File
)

var cases = map[string]func() bool{}

// TestMain plays a case if the arguments are ROOT CASE-FOLDER CASE.
func TestMain(m *testing.M) {
	if len(os.Args) != 4 || cases[os.Args[3]] == nil {
		os.Exit(m.Run())
	}
	root, dir = os.Args[1], os.Args[2]
	var err error
	if recordTo, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	if work, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("%v", err)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	record("disruption: %v", trouble)
	if cases[os.Args[3]]() {
		record("result: the rule held")
		end(exitHeld)
	}
	record("result: the rule was broken")
	end(exitBroken)
}

// end kills the processes that the case started, and exits.
func end(code int) {
	for _, p := range started {
		_ = p.Kill()
	}
	if os.Getenv("KEEP_LOGS") == "" && work != "" {
		_ = os.RemoveAll(work)
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	record("the case could not run: "+format, args...)
	end(exitFailed)
}

// record writes a line to record.txt and to the standard output.
func record(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordTo != nil {
		_, _ = recordTo.WriteString(line)
	}
	fmt.Print(line)
}
