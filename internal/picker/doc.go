// Package picker asks the board of the log's leader where requests go, and chooses from the entry's own board where that does not answer.
package picker
