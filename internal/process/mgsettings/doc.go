// Package mgsettings reads the settings files of the processes.
//
// A settings file is TOML. Its keys are the fields of a Go struct, whose tags
// define each key's name, default, bounds, unit and meaning; the reference in
// docs/OPERATIONS.md is generated from the same tags. All faults of a file are
// reported at once, each with its line, key and remedy.
package mgsettings
