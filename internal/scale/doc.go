// Package scale decides how many endpoints of each service and availability zone to order, and orders them.
package scale
