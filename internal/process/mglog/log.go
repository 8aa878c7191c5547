// Package mglog writes the processes' logs: JSON lines through logr, with one
// set of keys everywhere, and no line per token.
package mglog

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// The keys of the logs.
const (
	Account  = "account"
	Service  = "service"
	Upstream = "upstream"
	Attempt  = "attempt"
	Version  = "version"
	Zone     = "zone"
	Process  = "process"
	Kind     = "kind"
	Request  = "request"
	Route    = "route"
)

// debugLevel is the verbosity that logr maps to slog's debug level.
const debugLevel = 4

// New returns a logger that writes JSON lines to w. Level is "debug", "info"
// or "error"; another counts as "info".
func New(w io.Writer, level string) logr.Logger {
	minLevel := slog.LevelInfo
	switch level {
	case "debug":
		minLevel = slog.LevelDebug
	case "error":
		minLevel = slog.LevelError
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel})
	return logr.FromSlogHandler(handler)
}

// Debug returns l at the level that only "debug" shows.
func Debug(l logr.Logger) logr.Logger { return l.V(debugLevel) }
