// Package cmds holds the commands of the program, each in a file of its own that registers it.
package cmds
