// Command drill2 runs the scripted cases of the second review. Each case starts the entries of the
// deploy file as separate processes on loopback addresses, with stand-ins for the platform's store,
// the engines and the clients, and judges what these have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration ends a case that hangs.
const maxDuration = 115 * time.Second

// scenario is a case: it plays the disruption unless calm is set, and returns whether the rule held.
type scenario func(ctx context.Context, d *deployment, calm bool) (held bool, err error)

var scenarios = map[string]scenario{
	"queued":    queued,
	"upload":    upload,
	"bigconfig": bigconfig,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, maxDuration)
	defer cancelTimeout()
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.close()
	dir, err := os.MkdirTemp("", "drill2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	program, err := filepath.Abs("target/entry")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d := &deployment{
		dir:     dir,
		program: program,
		log:     log,
	}
	defer d.close()
	calm := os.Getenv("TROUBLE") == "0"
	log.printf("case %s, disruption: %v", name, !calm)
	held, err := scenarios[name](ctx, d, calm)
	switch {
	case err != nil:
		log.printf("the case could not run: %v", err)
		return exitFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		log.printf("the case took too long")
		return exitFailed
	case !held:
		log.printf("result: the rule was broken")
		return exitBroken
	}
	log.printf("result: the rule held")
	return exitHeld
}
