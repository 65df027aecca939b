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

// Sample is the commented sample of a settings file that ships with the program.
//
//go:embed sample.toml
var Sample []byte

// Values of Settings.Mode: what an instance routes by.
const (
	// ModeContracts routes requests for models and services by customers' contracts.
	ModeContracts = "contracts"
	// ModeRoutes routes requests by host and path with a routing table, which operators replace as a whole.
	ModeRoutes = "routes"
)

type (
	// Settings holds the settings of one instance.
	Settings struct {
		Mode     string   `toml:"mode"`
		Instance Instance `toml:"instance"`
		Listen   Listen   `toml:"listen"`
		Peers    Peers    `toml:"peers"`
		Keys     Keys     `toml:"keys"`
		Limits   Limits   `toml:"limits"`
		Proof    Proof    `toml:"fresh"`
		Sched    Sched    `toml:"sched"`
		Retry    Retry    `toml:"retry"`
		Stop     Stop     `toml:"stop"`
		Log      Log      `toml:"log"`
		// Duties is nil if the platform has no duties for instances.
		Duties *Duties `toml:"duties"`
	}

	// Problem is one error in a settings file. Key is dotted and includes the section.
	Problem struct {
		File   string
		Line   int
		Key    string
		Reason string
	}

	// Problems are the errors in a settings file, ordered by line.
	Problems []*Problem

	// section is a section of the settings. check returns the first invalid key of the section and what is wrong with it.
	section interface {
		check(mode string) (key string, err error)
	}
)

// Error returns the file, line, key and reason on one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Reason)
}

// Error returns the problems, one on each line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{
		Mode:   ModeContracts,
		Limits: defaultLimits(),
		Proof:  defaultProof(),
		Sched:  defaultSched(),
		Retry:  defaultRetry(),
		Stop:   defaultStop(),
		Log:    Log{Level: "info"},
	}
}

// Load reads and checks a settings file. Errors in its text are Problems.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text)
}

// Parse decodes and checks the text of a settings file. Its errors are Problems.
func Parse(file string, text []byte) (Settings, error) {
	c := Default()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(&c)
	var problems Problems
	var unknownKeys *toml.StrictMissingError
	switch {
	case errors.As(err, &unknownKeys):
		for i := range unknownKeys.Errors {
			line, _ := unknownKeys.Errors[i].Position()
			problems = append(problems, &Problem{
				File: file, Line: line, Key: strings.Join(unknownKeys.Errors[i].Key(), "."), Reason: "unknown key",
			})
		}
	case err != nil:
		// The decoder stops at the first syntax error or invalid value, so the rest of the file is not checked.
		return c, Problems{decodeProblem(file, err)}
	}
	if c.Duties != nil {
		c.Duties.setDefaults()
	}
	for _, p := range c.check() {
		p.File, p.Line = file, lineOf(string(text), p.Key)
		problems = append(problems, p)
	}
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(x, y *Problem) int { return x.Line - y.Line })
		return c, problems
	}
	return c, nil
}

// check returns the first error of each section.
func (c *Settings) check() (problems Problems) {
	if c.Mode != ModeContracts && c.Mode != ModeRoutes {
		return Problems{{Key: "mode", Reason: "must be \"contracts\" or \"routes\""}}
	}
	sections := []struct {
		name     string
		settings section
	}{
		{"instance", &c.Instance}, {"listen", &c.Listen}, {"peers", &c.Peers}, {"keys", &c.Keys},
		{"limits", &c.Limits}, {"fresh", &c.Proof}, {"sched", &c.Sched}, {"retry", &c.Retry}, {"stop", &c.Stop}, {"log", &c.Log},
	}
	if c.Duties != nil {
		sections = append(sections, struct {
			name     string
			settings section
		}{"duties", c.Duties})
	}
	for _, s := range sections {
		if key, err := s.settings.check(c.Mode); err != nil {
			problems = append(problems, &Problem{Key: s.name + "." + key, Reason: err.Error()})
		}
	}
	return problems
}

// decodeProblem converts an error of the decoder to a problem with its line and key.
func decodeProblem(file string, err error) *Problem {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		reason := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		return &Problem{File: file, Line: line, Key: strings.Join(decodeErr.Key(), "."), Reason: reason}
	}
	return &Problem{File: file, Line: 1, Reason: err.Error()}
}

// lineOf returns the line number of a dotted key. It is the line of the section if the key is not set, and 1 if there is no section.
func lineOf(text, key string) int {
	sectionName, name, dotted := strings.Cut(key, ".")
	sectionLine, inSection := 1, false
	if !dotted {
		sectionName, name, inSection = "", key, true
	}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inSection = line == "["+sectionName+"]"
			if inSection {
				sectionLine = i + 1
			}
			continue
		}
		lineKey, _, _ := strings.Cut(line, "=")
		if inSection && strings.TrimSpace(lineKey) == name {
			return i + 1
		}
	}
	return sectionLine
}
