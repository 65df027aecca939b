// Command bench generates the traces in the repository and measures the router.
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

// traceSeed is the random seed of the traces in the repository; another value changes them.
const traceSeed = 1

type genCmd struct {
	Dir string `long:"dir" default:"traces" description:"folder to write to"`
}

// Execute generates the two traces and writes them to Dir.
func (c *genCmd) Execute([]string) error {
	for _, name := range []string{"anim", "dvorak"} {
		f, err := os.Create(filepath.Join(c.Dir, name+".jsonl"))
		if err != nil {
			return err
		}
		if err := bench.GenerateTrace(name, traceSeed).Write(f); err != nil {
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

// Execute runs each trace once under each scenario on each system and prints the table.
func (c *tableCmd) Execute([]string) error {
	bin, clean, err := buildBinaries()
	if err != nil {
		return err
	}
	defer clean()
	if len(c.Scenarios) == 0 {
		c.Scenarios = bench.Scenarios
	}
	var rows []bench.Row
	for _, file := range c.Traces {
		tr, err := readTrace(file)
		if err != nil {
			return err
		}
		for _, scenario := range c.Scenarios {
			for _, system := range c.Systems {
				row, err := c.measure(bench.Run{Trace: tr, Scenario: scenario, System: system, Bin: bin})
				if err != nil {
					return err
				}
				rows = append(rows, row)
			}
		}
	}
	return bench.PrintTable(os.Stdout, rows)
}

func (c *tableCmd) measure(run bench.Run) (bench.Row, error) {
	report, err := bench.MeasureRun(context.Background(), run)
	if err != nil {
		return bench.Row{}, fmt.Errorf("%s %s %s: %w", run.Trace.Header.Name, run.Scenario, run.System, err)
	}
	fmt.Fprintf(os.Stderr, "%s %s %s: attained %d of %d, wasted %d of %d\n", run.Trace.Header.Name, run.Scenario, run.System,
		report.Attained, report.Sent, report.Wasted, report.Generated)
	if c.Classes {
		if err := report.Print(os.Stdout); err != nil {
			return bench.Row{}, err
		}
	}
	return bench.Row{Run: run, Report: report}, nil
}

// buildBinaries builds the binaries into a new temporary folder, which clean removes.
func buildBinaries() (bin string, clean func(), err error) {
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

// Execute runs the selected measurements and prints their results.
func (c *slopesCmd) Execute([]string) error {
	bin, clean, err := buildBinaries()
	if err != nil {
		return err
	}
	defer clean()
	measurements := []struct {
		name string
		run  func(bin string) error
	}{
		{"sched", func(string) error { return printLines(bench.MeasureScheduler(), nil) }},
		{"place", func(string) error { return printLines([]bench.Line{bench.MeasurePlacement()}, nil) }},
		{"log", printLog},
		{"claims", func(string) error { return printLines([]bench.Line{bench.MeasureClaimMemory()}, nil) }},
		{"spread", func(bin string) error { return printLines(bench.MeasureIdleInstances(bin)) }},
		{"contracts", func(bin string) error { return printLines(bench.MeasureContracts(bin)) }},
		{"force", printPropagation},
		{"gap", printCommitGap},
		{"overhead", printOverhead},
		{"streams", func(bin string) error { return printLines(bench.MeasureStreamMemory(bin)) }},
	}
	for _, m := range measurements {
		if len(c.Only) > 0 && !slices.Contains(c.Only, m.name) {
			continue
		}
		if err := m.run(bin); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}

func printLines(lines []bench.Line, err error) error {
	for _, line := range lines {
		line.Print(os.Stdout)
	}
	return err
}

func printLog(string) error {
	for _, n := range []int{3, 5} {
		for _, writers := range []int{1, 64} {
			result, err := bench.MeasureCommits(n, writers)
			if err != nil {
				return err
			}
			fmt.Printf("log: %d replicas, %d writers: %.0f commits/s, median %s, 99%% %s\n",
				result.Replicas, result.Writers, result.PerSecond, result.Median, result.P99)
		}
	}
	recovery, err := bench.MeasureRecovery()
	return printLines([]bench.Line{recovery}, err)
}

func printPropagation(bin string) error {
	for _, kill := range []bool{false, true} {
		result, err := bench.MeasurePropagation(bin, kill)
		if err != nil {
			return err
		}
		fmt.Printf("in force on 9 instances, 200 changes, %d kills of the leader: median %s, 99%% %s, max %s\n",
			result.Kills, result.Median, result.P99, result.Max)
	}
	return nil
}

func printCommitGap(bin string) error {
	gaps, err := bench.MeasureCommitGap(bin, 10)
	bench.PrintDurations(os.Stdout, "time without a commit at a kill of the leader", gaps)
	return err
}

func printOverhead(bin string) error {
	overhead, err := bench.MeasureOverhead(bin)
	if err != nil {
		return err
	}
	fmt.Printf("first token, median: direct %s, routed %s, added %s\n", overhead.Direct, overhead.Routed, overhead.Routed-overhead.Direct)
	for _, load := range overhead.Loads {
		fmt.Printf("load of %d-token streams over 3 instances: %.0f requests/s, %s of a core and %.0f bytes between instances a request\n",
			load.Tokens, load.RequestsPerSec, load.CPUTime, load.PeerBytes)
	}
	return printLines([]bench.Line{overhead.CPU}, nil)
}

func readTrace(file string) (*trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return trace.Read(f)
}

type sharesCmd struct{}

// Execute prints the share of tests and of the control packages in the code.
func (c *sharesCmd) Execute([]string) error {
	return bench.PrintShares(os.Stdout, ".")
}

func main() {
	parser := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	addCommand := func(name, short string, data any) {
		if _, err := parser.AddCommand(name, short, short+".", data); err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			os.Exit(1)
		}
	}
	addCommand("gen", "Write the shipped traces", &genCmd{})
	addCommand("slopes", "Measure how costs grow with load and size, for capacity planning", &slopesCmd{})
	addCommand("shares", "Print the share of tests and of routing and state packages in the code", &sharesCmd{})
	addCommand("table", "Measure traces under faults against baselines", &tableCmd{})
	_, err := parser.Parse()
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
	default:
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
