// Package table holds the routing table, which operators replace as a whole: routes, services, organisations and limits.
package table
