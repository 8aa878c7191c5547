// Command marjoramgauge is the system's single binary: the entry, the agent, stand-ins
// for the services around them, a client and the operators' tools.
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
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// outputs holds the writers to which a command prints.
type outputs struct {
	out    io.Writer
	errOut io.Writer
}

// usageError reports invalid use of a command.
type usageError struct {
	text string
}

// Error returns the description of the error and its remedy.
func (u usageError) Error() string { return u.text }

func newUsageError(format string, args ...any) error {
	return usageError{text: fmt.Sprintf(format, args...)}
}

func run(args []string, out, errOut io.Writer) int {
	output := outputs{
		out:    out,
		errOut: errOut,
	}
	parser := newParser(output)
	_, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	var usageErr usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagsError.Message)
		return exitOK
	case errors.As(err, &flagsError):
		fmt.Fprintln(errOut, flagsError.Message)
		fmt.Fprintln(errOut, "see marjoramgauge --help")
		return exitUsage
	case errors.As(err, &usageErr):
		fmt.Fprintln(errOut, usageErr.text)
		return exitUsage
	default:
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
}
