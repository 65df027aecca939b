// Package sched schedules the requests of one cell, that is, of one model or service in one region. It decides which queued
// request is granted next, on which endpoint, and which requests are refused. An entry is the instance that accepted the
// caller's request; it asks the scheduler for a grant and then sends the request to the granted endpoint.
//
// The scheduler does no I/O and reads no clock: the current time and all input are arguments, and decisions are collected
// until the owner takes them.
package sched
