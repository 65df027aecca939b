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
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// command is one command as it registers itself; under names the group that it stands in.
type command struct {
	under string
	name  string
	short string
	long  string
	data  func(env *Env) any
}

// Env is what a command may use of its surroundings. Settings is the settings file where none is named, or empty; Wire is
// how instances that route by a table are spoken to.
type Env struct {
	Out      io.Writer
	Err      io.Writer
	Settings string
	Wire     router.Wire
}

// usage is an error in how a command was called.
type usage struct {
	error
}

var registered []command

var groups = map[string]string{
	"contract": "Change and show customers' contracts",
	"show":     "Show the state of the system",
}

// register adds a command; each command's file calls it at start.
func register(c command) {
	registered = append(registered, c)
}

// Main runs the program with its arguments and returns its exit code.
func Main(args []string, env *Env) int {
	p := flags.NewNamedParser("greengagewheel", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "router for language-model traffic"
	p.LongDescription = "greengagewheel routes language-model and service requests by contract, service level and priority."
	if err := build(p, env); err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitFailed
	}
	_, err := p.ParseArgs(args)
	return exit(err, env)
}

// build adds the registered commands to the parser, by name.
func build(p *flags.Parser, env *Env) error {
	parents := map[string]*flags.Command{}
	for _, name := range []string{"contract", "show"} {
		g, err := p.AddCommand(name, groups[name], groups[name]+".", &struct{}{})
		if err != nil {
			return err
		}
		parents[name] = g
	}
	sort.Slice(registered, func(i, j int) bool { return registered[i].name < registered[j].name })
	for _, c := range registered {
		add := p.AddCommand
		if c.under != "" {
			add = parents[c.under].AddCommand
		}
		if _, err := add(c.name, c.short, c.long, c.data(env)); err != nil {
			return err
		}
	}
	return nil
}

func exit(err error, env *Env) int {
	var f *flags.Error
	var u usage
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(env.Out, f.Message)
		return ExitDone
	case errors.As(err, &f), errors.As(err, &u):
		_, _ = fmt.Fprintln(env.Err, "greengagewheel:", err)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(env.Err, "greengagewheel:", err)
	return ExitFailed
}

// Std returns the surroundings of a real process.
func Std() *Env {
	return &Env{Out: os.Stdout, Err: os.Stderr}
}
