// Package mgexplore runs a model through its schedules, for tests of state
// machines.
//
// A model is a function that asks a Chooser for each thing that could happen
// next. Exhaust gives it every sequence of answers in turn, and leaves out what
// follows a state that it has been in; Seeds gives it random ones.
//
// References: Godefroid (1997), Model Checking for Programming Languages using
// VeriSoft; Clarke, Grumberg, Peled (1999), Model Checking.
package mgexplore
