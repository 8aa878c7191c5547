// Command drill runs the cases of the review: it starts entries as separate processes with the command
// of the deploy file, on loopback addresses, and plays the platform's store, the engines and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// A drill is one case. It returns whether the rule was broken; trouble is false where it runs without the
// disruption.
type drill func(d *deployment, trouble bool) (isBroken bool, err error)

var drills = map[string]drill{
	"reborn":     rebornEngine,
	"unframed":   unframedMove,
	"long-host":  longHost,
	"slashes":    doubleSlash,
	"big-bodies": bigBodies,
	"own":        ownAnswer,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		return serveExports(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		return couldNot
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	r := &record{
		file:  file,
		begin: time.Now(),
	}
	d, err := newDeployment(r)
	if err != nil {
		r.line("the case could not run: %v", err)
		return couldNot
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption: %v", os.Args[1], trouble)
	isBroken, err := drills[os.Args[1]](d, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		return couldNot
	case isBroken:
		r.line("verdict: the rule was broken")
		return broken
	default:
		r.line("verdict: the rule held")
		return held
	}
}
