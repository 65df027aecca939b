// Package roster holds the rules by which endpoints that announce themselves enter, change and leave the set of those that may be used.
//
// It is pure: late, foreign and outdated announcements are told apart by the start of the endpoint alone.
package roster
