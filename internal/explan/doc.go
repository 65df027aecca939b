// Package explan collects the events of one request from the logs of several instances, with other events of the instances and
// endpoints that handled it.
package explan
