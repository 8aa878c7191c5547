// Command marjoramgauge is the one binary of the system: the entry, the agent,
// stand-ins of what surrounds them, a caller and the operators' tools.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// streams is where a command writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// usageError is a wrong use of a command.
type usageError struct {
	text string
}

// Error returns what was wrong and the remedy.
func (u usageError) Error() string { return u.text }

func usage(format string, args ...any) error {
	return usageError{text: fmt.Sprintf(format, args...)}
}

func run(args []string, out, errOut io.Writer) int {
	to := streams{
		out: out,
		err: errOut,
	}
	parser := newParser(to)
	_, err := parser.ParseArgs(args)
	var wrong *flags.Error
	var misuse usageError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Fprintln(out, wrong.Message)
		return exitDone
	case errors.As(err, &wrong):
		fmt.Fprintln(errOut, wrong.Message)
		fmt.Fprintln(errOut, "see marjoramgauge --help")
		return exitUsage
	case errors.As(err, &misuse):
		fmt.Fprintln(errOut, misuse.text)
		return exitUsage
	default:
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
}
