// Command bench writes the traces and measures the system on them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/greengagewheel/greengagewheel/internal/bench"
	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

// traceSeed decides the shipped traces.
const traceSeed = 1

type genCmd struct {
	Dir string `long:"dir" default:"traces" description:"folder to write to"`
}

// Execute writes the two shipped traces.
func (c *genCmd) Execute([]string) error {
	for _, name := range []string{"anim", "dvorak"} {
		f, err := os.Create(filepath.Join(c.Dir, name+".jsonl"))
		if err != nil {
			return err
		}
		if err := bench.Synth(name, traceSeed).Write(f); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	return nil
}

type tableCmd struct {
	Traces    []string `long:"trace" default:"traces/anim.jsonl" default:"traces/dvorak.jsonl" description:"trace; may be repeated"`
	Scenarios []string `long:"scenario" description:"scenario; may be repeated; all if not given"`
	Systems   []string `long:"system" default:"ours" default:"baseline" description:"system; may be repeated"`
	Classes   bool     `long:"classes" description:"print each run by class too"`
}

// Execute measures each trace under each scenario by each system, one run each.
func (c *tableCmd) Execute([]string) error {
	bin, err := os.MkdirTemp("", "bench-bin")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(bin) }()
	if err := rig.Build(bin, "."); err != nil {
		return err
	}
	if len(c.Scenarios) == 0 {
		c.Scenarios = bench.Scenarios
	}
	var rows []bench.Row
	for _, file := range c.Traces {
		tr, err := read(file)
		if err != nil {
			return err
		}
		for _, sc := range c.Scenarios {
			for _, sys := range c.Systems {
				row, err := c.one(bench.Run{Trace: tr, Scenario: sc, System: sys, Bin: bin})
				if err != nil {
					return err
				}
				rows = append(rows, row)
			}
		}
	}
	return bench.PrintTable(os.Stdout, rows)
}

func (c *tableCmd) one(run bench.Run) (bench.Row, error) {
	rep, err := bench.Measure(context.Background(), run)
	if err != nil {
		return bench.Row{}, fmt.Errorf("%s %s %s: %w", run.Trace.Head.Name, run.Scenario, run.System, err)
	}
	fmt.Fprintf(os.Stderr, "%s %s %s: attained %d of %d, wasted %d of %d\n", run.Trace.Head.Name, run.Scenario, run.System,
		rep.Attained, rep.Sent, rep.Wasted, rep.Generated)
	if c.Classes {
		if err := rep.Print(os.Stdout); err != nil {
			return bench.Row{}, err
		}
	}
	return bench.Row{Run: run, Report: rep}, nil
}

func read(file string) (*trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return trace.Read(f)
}

func main() {
	p := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, short string, data any) {
		if _, err := p.AddCommand(name, short, short+".", data); err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			os.Exit(1)
		}
	}
	add("gen", "Write the shipped traces", &genCmd{})
	add("table", "Measure traces under faults against baselines", &tableCmd{})
	_, err := p.Parse()
	var f *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Println(f.Message)
	default:
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
