// Package broker is the client of the cells' schedulers. It finds the instance that schedules a cell, requests grants from it,
// and reports to it the requests that run through this instance and the announcements of endpoints.
package broker
