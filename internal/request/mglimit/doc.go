// Package mglimit reads the rates that upstreams in need ask for in their answers.
package mglimit
