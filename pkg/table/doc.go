// Package table holds the routing table that operators replace as a whole: routes, services, organisations and limits.
package table
