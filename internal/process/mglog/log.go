// Package mglog writes the processes' logs as JSON lines through logr. All
// processes use the same keys, and no line is logged per token.
package mglog

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Keys of log fields.
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

// New returns a logger that writes JSON lines to w. Level is "debug", "info" or
// "error"; any other is treated as "info".
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

// Debug returns l at a verbosity that is logged only at level "debug".
func Debug(l logr.Logger) logr.Logger { return l.V(debugLevel) }
