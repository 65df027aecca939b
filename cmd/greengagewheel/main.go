// Command greengagewheel routes language-model traffic by contract, service level and priority.
package main

import (
	"os"

	"github.com/greengagewheel/greengagewheel/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], cmds.Std()))
}
