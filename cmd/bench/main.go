// Command bench writes the traces and measures the system on them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

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
	bin, clean, err := build()
	if err != nil {
		return err
	}
	defer clean()
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
		return bench.Row{}, fmt.Errorf("%s %s %s: %w", run.Trace.Header.Name, run.Scenario, run.System, err)
	}
	fmt.Fprintf(os.Stderr, "%s %s %s: attained %d of %d, wasted %d of %d\n", run.Trace.Header.Name, run.Scenario, run.System,
		rep.Attained, rep.Sent, rep.Wasted, rep.Generated)
	if c.Classes {
		if err := rep.Print(os.Stdout); err != nil {
			return bench.Row{}, err
		}
	}
	return bench.Row{Run: run, Report: rep}, nil
}

// build makes the programs in a new folder, which clean removes.
func build() (bin string, clean func(), err error) {
	if bin, err = os.MkdirTemp("", "bench-bin"); err != nil {
		return "", nil, err
	}
	clean = func() { _ = os.RemoveAll(bin) }
	if err = rig.Build(bin, "."); err != nil {
		clean()
		return "", nil, err
	}
	return bin, clean, nil
}

type slopesCmd struct {
	Only []string `long:"only" description:"sched, place, log, claims, spread, contracts, force, gap, overhead or streams; may be repeated; all if not given"`
}

// Execute measures the slopes and prints them.
func (c *slopesCmd) Execute([]string) error {
	bin, clean, err := build()
	if err != nil {
		return err
	}
	defer clean()
	parts := []struct {
		name string
		run  func(bin string) error
	}{
		{"sched", func(string) error { return printSlopes(bench.SchedSlopes(), nil) }},
		{"place", func(string) error { return printSlopes([]bench.Slope{bench.PlaceSlope()}, nil) }},
		{"log", printLog},
		{"claims", func(string) error { return printSlopes([]bench.Slope{bench.ClaimBytes()}, nil) }},
		{"spread", func(bin string) error { return printSlopes(bench.SpreadSlopes(bin)) }},
		{"contracts", func(bin string) error { return printSlopes(bench.ContractSlopes(bin)) }},
		{"force", printForce},
		{"gap", printGap},
		{"overhead", printOverhead},
		{"streams", func(bin string) error { return printSlopes(bench.StreamSlope(bin)) }},
	}
	for _, p := range parts {
		if len(c.Only) > 0 && !slices.Contains(c.Only, p.name) {
			continue
		}
		if err := p.run(bin); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

func printSlopes(all []bench.Slope, err error) error {
	for _, s := range all {
		s.Print(os.Stdout)
	}
	return err
}

func printLog(string) error {
	for _, n := range []int{3, 5} {
		for _, w := range []int{1, 64} {
			r, err := bench.LogRate(n, w)
			if err != nil {
				return err
			}
			fmt.Printf("log: %d replicas, %d writers: %.0f commits/s, median %s, 99%% %s\n", r.Replicas, r.Writers, r.PerSecond, r.Median, r.P99)
		}
	}
	s, err := bench.Recovery()
	return printSlopes([]bench.Slope{s}, err)
}

func printForce(bin string) error {
	for _, kill := range []bool{false, true} {
		f, err := bench.InForceEverywhere(bin, kill)
		if err != nil {
			return err
		}
		fmt.Printf("in force on 9 instances, 200 changes, %d kills of the leader: median %s, 99%% %s, max %s\n", f.Kills, f.Median, f.P99, f.Max)
	}
	return nil
}

func printGap(bin string) error {
	gaps, err := bench.CommitGap(bin, 10)
	bench.PrintSpans(os.Stdout, "time without a commit at a kill of the leader", gaps)
	return err
}

func printOverhead(bin string) error {
	o, err := bench.MeasureOverhead(bin)
	if err != nil {
		return err
	}
	fmt.Printf("first token, median: direct %s, routed %s, added %s\n", o.Direct, o.Routed, o.Routed-o.Direct)
	for _, l := range o.Loads {
		fmt.Printf("load of %d-token streams over 3 instances: %.0f requests/s, %s of a core and %.0f bytes between instances a request\n",
			l.Tokens, l.Requests, l.Core, l.ControlBytes)
	}
	return printSlopes([]bench.Slope{o.CPU}, nil)
}

func read(file string) (*trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return trace.Read(f)
}

type sharesCmd struct{}

// Execute prints the shares of the code.
func (c *sharesCmd) Execute([]string) error {
	return bench.Shares(os.Stdout, ".")
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
	add("slopes", "Measure the slopes from which capacity is worked out", &slopesCmd{})
	add("shares", "Print the share of tests and of decisions in the code", &sharesCmd{})
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
