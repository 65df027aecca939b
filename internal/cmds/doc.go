// Package cmds implements the commands of the program. Each file registers its commands.
package cmds
