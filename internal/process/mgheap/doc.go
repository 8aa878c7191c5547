// Package mgheap trades memory for processor time while a process is overloaded.
//
// A garbage collection takes as long as there is live memory, and comes the more often the
// less memory may be added in between. On a VM with a small share of a processor one
// collection delays all events by a tenth of a second, twice a second under load. Memory that
// a calm process should leave free is worth less than that time while requests fail.
package mgheap
