// Package mgsettings reads the settings files of the processes.
//
// A settings file is TOML. Its keys are the fields of a Go struct, whose tags
// give each key's name, default, bounds, unit and meaning; the same tags are
// the reference in docs/OPERATIONS.md. All faults of a file are found in one
// reading, each with its line, its key and the remedy.
package mgsettings
