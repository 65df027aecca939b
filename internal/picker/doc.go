// Package picker chooses endpoints for an entry instance. A Picker asks the leader of the log, which sees the requests of all
// entry instances, and chooses from its own load state if the leader does not answer in time.
package picker
