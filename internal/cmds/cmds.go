package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/jessevdk/go-flags"

	"github.com/greengagewheel/greengagewheel/internal/router"
)

// Exit codes of the program.
const (
	// ExitOK means that the command succeeded or its help was printed.
	ExitOK = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitUsage means that the arguments are invalid.
	ExitUsage = 2
)

// command describes a command to the parser. An empty group places it at the top level; newData returns the value that holds its
// options and runs it.
type command struct {
	group   string
	name    string
	short   string
	long    string
	newData func(env *Env) any
}

// Env is the environment of a command. SettingsFile is the default settings file, or empty; Wire implements the protocols of
// instances that route by a routing table.
type Env struct {
	Out          io.Writer
	Err          io.Writer
	SettingsFile string
	Wire         router.Wire
}

// usageError is an error in the arguments of a command.
type usageError struct {
	error
}

// commands holds the registered commands.
var commands []command

// groupDescriptions holds the description of each group of commands.
var groupDescriptions = map[string]string{
	"contract": "Change and show customers' contracts",
	"part":     "Show and lift prompt parts under which endpoints went down",
	"show":     "Show the state of the cluster",
}

// register adds a command; the file of each command calls it from init.
func register(c command) {
	commands = append(commands, c)
}

// Main runs the command that args name and returns the exit code of the program.
func Main(args []string, env *Env) int {
	parser := flags.NewNamedParser("greengagewheel", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for language-model traffic"
	parser.LongDescription = "greengagewheel routes language-model and service requests by contract, service level and priority."
	if err := addCommands(parser, env); err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitFailure
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, env)
}

// addCommands adds the groups and the registered commands to the parser, sorted by name.
func addCommands(parser *flags.Parser, env *Env) error {
	groupCommands := map[string]*flags.Command{}
	for _, name := range []string{"contract", "part", "show"} {
		group, err := parser.AddCommand(name, groupDescriptions[name], groupDescriptions[name]+".", &struct{}{})
		if err != nil {
			return err
		}
		groupCommands[name] = group
	}
	sort.Slice(commands, func(i, j int) bool { return commands[i].name < commands[j].name })
	for _, c := range commands {
		addCommand := parser.AddCommand
		if c.group != "" {
			addCommand = groupCommands[c.group].AddCommand
		}
		if _, err := addCommand(c.name, c.short, c.long, c.newData(env)); err != nil {
			return err
		}
	}
	return nil
}

// exitCode prints an error, or the help that was asked for, and returns the exit code.
func exitCode(err error, env *Env) int {
	var flagErr *flags.Error
	var usageErr usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(env.Out, flagErr.Message)
		return ExitOK
	case errors.As(err, &flagErr), errors.As(err, &usageErr):
		_, _ = fmt.Fprintln(env.Err, "greengagewheel:", err)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(env.Err, "greengagewheel:", err)
	return ExitFailure
}

// StdEnv returns an environment with the standard output and standard error of the process.
func StdEnv() *Env {
	return &Env{Out: os.Stdout, Err: os.Stderr}
}
