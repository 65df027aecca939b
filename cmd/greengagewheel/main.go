// Command greengagewheel routes language-model traffic by contract, service level and priority.
package main

import (
	"os"

	"github.com/greengagewheel/greengagewheel/internal/cmds"
	"github.com/greengagewheel/greengagewheel/platform"
)

func main() {
	env := cmds.StdEnv()
	env.SettingsFile, env.Wire = platform.SettingsFile(), platform.Wire{}
	os.Exit(cmds.Main(os.Args[1:], env))
}
