// Package mgexplore explores the schedules of a model, for tests of state machines.
//
// A model is a function that asks a Chooser at each point where several things could
// happen next. Exhaust runs it with every sequence of choices and prunes schedules
// that reach a state already explored. Seeds runs it with random choices.
//
// References: Godefroid (1997), Model Checking for Programming Languages using
// VeriSoft; Clarke, Grumberg, Peled (1999), Model Checking.
package mgexplore
