// Package explan finds the way of one request in the logs of several instances, with what else happened to those it met.
package explan
