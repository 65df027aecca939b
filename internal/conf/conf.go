package conf

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Sample is the commented settings file that ships with the program.
//
//go:embed sample.toml
var Sample []byte

// What an instance routes by.
const (
	// ModeContracts routes models and services by customers' contracts.
	ModeContracts = "contracts"
	// ModeRoutes routes hosts and paths by one routing table that operators replace as a whole.
	ModeRoutes = "routes"
)

type (
	// Conf is the whole settings file of one instance.
	Conf struct {
		Mode     string   `toml:"mode"`
		Instance Instance `toml:"instance"`
		Listen   Listen   `toml:"listen"`
		Peers    Peers    `toml:"peers"`
		Keys     Keys     `toml:"keys"`
		Limits   Limits   `toml:"limits"`
		Fresh    Fresh    `toml:"fresh"`
		Sched    Sched    `toml:"sched"`
		Retry    Retry    `toml:"retry"`
		Stop     Stop     `toml:"stop"`
		Log      Log      `toml:"log"`
	}

	// Problem is one fault of a settings file, with its place.
	Problem struct {
		File   string
		Line   int
		Key    string
		Reason string
	}

	// Problems are the faults of a settings file, in the order of its lines.
	Problems []*Problem

	// section is a part of the settings that checks itself; its problems name keys within it.
	section interface {
		check(mode string) (key string, err error)
	}
)

// Error returns the place, the key and the reason on one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Reason)
}

// Error returns the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Default returns the settings that hold where a file says nothing.
func Default() Conf {
	return Conf{
		Mode:   ModeContracts,
		Limits: defaultLimits(),
		Fresh:  defaultFresh(),
		Sched:  defaultSched(),
		Retry:  defaultRetry(),
		Stop:   defaultStop(),
		Log:    Log{Level: "info"},
	}
}

// Load reads and checks a settings file; faults in its text are Problems.
func Load(file string) (Conf, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Conf{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text)
}

// Parse decodes and checks the text of a settings file; its faults are Problems.
func Parse(file string, text []byte) (Conf, error) {
	c := Default()
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(&c)
	var found Problems
	var strict *toml.StrictMissingError
	switch {
	case errors.As(err, &strict):
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			found = append(found, &Problem{File: file, Line: line, Key: strings.Join(strict.Errors[i].Key(), "."), Reason: "unknown key"})
		}
	case err != nil:
		// What follows a fault in the text cannot be told.
		return c, Problems{place(file, err)}
	}
	for _, p := range c.check() {
		p.File, p.Line = file, lineOf(string(text), p.Key)
		found = append(found, p)
	}
	if len(found) > 0 {
		slices.SortStableFunc(found, func(x, y *Problem) int { return x.Line - y.Line })
		return c, found
	}
	return c, nil
}

// check returns the first fault of each section.
func (c *Conf) check() (found Problems) {
	if c.Mode != ModeContracts && c.Mode != ModeRoutes {
		return Problems{{Key: "mode", Reason: "must be \"contracts\" or \"routes\""}}
	}
	parts := []struct {
		name string
		sec  section
	}{
		{"instance", &c.Instance}, {"listen", &c.Listen}, {"peers", &c.Peers}, {"keys", &c.Keys},
		{"limits", &c.Limits}, {"fresh", &c.Fresh}, {"sched", &c.Sched}, {"retry", &c.Retry}, {"stop", &c.Stop}, {"log", &c.Log},
	}
	for _, p := range parts {
		if key, err := p.sec.check(c.Mode); err != nil {
			found = append(found, &Problem{Key: p.name + "." + key, Reason: err.Error()})
		}
	}
	return found
}

// place turns a decoder's error into a problem with its line and key.
func place(file string, err error) *Problem {
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		reason := strings.TrimPrefix(bad.Error(), "toml: ")
		return &Problem{File: file, Line: line, Key: strings.Join(bad.Key(), "."), Reason: reason}
	}
	return &Problem{File: file, Line: 1, Reason: err.Error()}
}

// lineOf returns the line on which a dotted key stands, else that of its section, else 1.
func lineOf(text, key string) int {
	table, name, in := strings.Cut(key, ".")
	at, found := 1, false
	if !in {
		table, name, found = "", key, true
	}
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			found = l == "["+table+"]"
			if found {
				at = i + 1
			}
			continue
		}
		head, _, _ := strings.Cut(l, "=")
		if found && strings.TrimSpace(head) == name {
			return i + 1
		}
	}
	return at
}
