// Package sched decides, for one cell (a model or service in one region), which request runs next, where, and which is refused.
//
// It is pure: time and input come in as arguments, and Take hands out the verdicts.
package sched
