// Command soak plays seeded faults on a fleet of processes and checks what its callers get.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/platform/soak"
)

const (
	planFile   = "plan.toml"
	reportMode = 0o600
	// mostShown is the number of findings of a run that are printed.
	mostShown = 10
)

var errBroken = errors.New("a rule was broken")

type (
	options struct {
		Run runCommand `command:"run" description:"play one plan or some seeds"`
	}

	runCommand struct {
		Seed     uint64        `long:"seed" default:"1" description:"seed of the plan"`
		Seeds    string        `long:"seeds" value-name:"A-B" description:"play all seeds from A to B"`
		For      time.Duration `long:"for" default:"60s" description:"length of a run"`
		Plan     string        `long:"plan" value-name:"FILE" description:"play a plan that an earlier run has written"`
		Programs string        `long:"programs" value-name:"DIR" description:"folder of the program; else it is built from this tree"`
		Build    string        `long:"build" value-name:"COMMIT" description:"build the program from a commit of this repository"`
		Report   string        `long:"report" value-name:"FILE" description:"append a line of JSON for each run"`
		Verbose  bool          `long:"verbose" description:"print each fault as it strikes"`
	}
)

func main() {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Println(flagErr.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// Execute plays the plans and returns an error if one broke a rule or could not be played. On SIGINT and SIGTERM it ends the processes of
// the present one.
func (c *runCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	plans, err := c.plans()
	if err != nil {
		return err
	}
	programs, cleanUp, err := c.programs()
	if err != nil {
		return err
	}
	defer cleanUp()
	broken := 0
	for _, plan := range plans {
		found, err := c.play(ctx, plan, programs)
		if err != nil {
			return fmt.Errorf("seed %d: %w", plan.Seed, err)
		}
		if found > 0 {
			broken++
		}
	}
	fmt.Printf("%d runs, %d broke a rule\n", len(plans), broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// plans returns the plans to be played.
func (c *runCommand) plans() ([]soak.Plan, error) {
	if c.Plan != "" {
		plan, err := soak.Read(c.Plan)
		return []soak.Plan{plan}, err
	}
	first, last := c.Seed, c.Seed
	if c.Seeds != "" {
		from, to, _ := strings.Cut(c.Seeds, "-")
		var err, lastErr error
		first, err = strconv.ParseUint(from, 10, 64)
		last, lastErr = strconv.ParseUint(to, 10, 64)
		if err = errors.Join(err, lastErr); err != nil || last < first {
			return nil, fmt.Errorf("--seeds %q is no range: %w", c.Seeds, err)
		}
	}
	var plans []soak.Plan
	for seed := first; seed <= last; seed++ {
		plans = append(plans, soak.Draw(seed, c.For))
	}
	return plans, nil
}

// programs returns the folder of the program under test, which it builds if none is given.
func (c *runCommand) programs() (dir string, cleanUp func(), err error) {
	if c.Programs != "" {
		return c.Programs, func() {}, nil
	}
	if dir, err = os.MkdirTemp("", "soak-programs"); err != nil {
		return "", nil, err
	}
	cleanUp = func() { _ = os.RemoveAll(dir) }
	root := "."
	if c.Build != "" {
		root = filepath.Join(dir, "source")
		if err = extract(c.Build, root); err != nil {
			cleanUp()
			return "", nil, err
		}
	}
	if err = rig.Build(dir, root); err != nil {
		cleanUp()
		return "", nil, err
	}
	return dir, cleanUp, nil
}

// extract writes the sources of a commit of this repository to a folder.
func extract(commit, dir string) error {
	archive := dir + ".tar"
	for _, args := range [][]string{
		{"git", "archive", "--output", archive, commit}, {"mkdir", dir}, {"tar", "-xf", archive, "-C", dir},
	} {
		if out, err := exec.Command(args[0], args[1:]...).CombinedOutput(); err != nil {
			return fmt.Errorf("%s of %s: %w: %s", args[0], commit, err, out)
		}
	}
	return nil
}

// play plays one plan, prints its result, and returns the number of findings. The folder of a run with findings is kept.
func (c *runCommand) play(ctx context.Context, plan soak.Plan, programs string) (found int, err error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", plan.Seed))
	if err != nil {
		return 0, err
	}
	log := zap.NewNop()
	if c.Verbose {
		if log, err = zap.NewDevelopment(); err != nil {
			return 0, err
		}
	}
	if err = plan.Write(filepath.Join(dir, planFile)); err != nil {
		return 0, err
	}
	report, err := soak.Play(ctx, plan, soak.Options{Programs: programs, Dir: dir, Log: log})
	if err != nil {
		fmt.Printf("seed %d: logs and plan in %s\n", plan.Seed, dir)
		return 0, err
	}
	printReport(report, dir)
	if c.Report != "" {
		err = appendJSON(c.Report, report)
	}
	if len(report.Findings) == 0 {
		err = errors.Join(err, os.RemoveAll(dir))
	}
	return len(report.Findings), err
}

// printReport prints the result of a run.
func printReport(report *soak.Report, dir string) {
	byRule := map[string]int{}
	for _, f := range report.Findings {
		byRule[f.Rule]++
	}
	fmt.Printf("seed %d: %d faults, %d runs at servers, answers by status %v, findings %v\n",
		report.Plan.Seed, len(report.Plan.Faults), report.Runs, report.Statuses, byRule)
	shown := map[string]int{}
	for _, f := range report.Findings {
		if shown[f.Rule]++; shown[f.Rule] <= mostShown/len(byRule) {
			fmt.Printf("  %s: request %s %s\n", f.Rule, f.ID, f.Detail)
		}
	}
	if len(report.Findings) > 0 {
		fmt.Printf("  again: soak run --plan %s\n", filepath.Join(dir, planFile))
		fmt.Printf("  a request's way: greengagewheel explain %s %s\n", report.Findings[0].ID, filepath.Join(dir, "*.log"))
	}
}

// appendJSON appends a report to a file, as a line.
func appendJSON(path string, report *soak.Report) error {
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, reportMode)
	if err != nil {
		return err
	}
	_, err = file.Write(slices.Concat(line, []byte("\n")))
	return errors.Join(err, file.Close())
}
