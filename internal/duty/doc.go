// Package duty gives one instance at a time the right to make calls to the platform that are the duty of a single instance, with
// fencing tokens that grow whenever the holder changes.
package duty
