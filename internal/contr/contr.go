package contr

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"
)

const (
	// Tiers is the number of service tiers; 1 is the highest.
	Tiers = 8
	// MaxClasses is the largest number of classes in one contract.
	MaxClasses = 16
	// MaxKeys is the largest number of keys in one contract.
	MaxKeys = 32
	// MaxShare is the largest sum of guaranteed shares, in percent of a cell; the rest serves classes without one.
	MaxShare = 95.0
	// DefaultPatience is how long a request waits in a queue where its class states nothing.
	DefaultPatience = 10 * time.Second

	milli     = 1000
	keyPrefix = "sha256:"
	keyBytes  = 32
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

type (
	// Span is a duration whose JSON and TOML text states its unit.
	Span time.Duration

	// Class is a customer's request class; zero limits mean "no limit".
	Class struct {
		Name     string  `json:"name" toml:"name"`
		Tier     int     `json:"tier" toml:"tier"`
		Share    float64 `json:"share,omitempty" toml:"share"`
		First    Span    `json:"first,omitempty" toml:"first"`
		Gap      Span    `json:"gap,omitempty" toml:"gap"`
		Patience Span    `json:"patience,omitempty" toml:"patience"`
		Rate     float64 `json:"rate,omitempty" toml:"rate"`
		Burst    float64 `json:"burst,omitempty" toml:"burst"`
		Tokens   float64 `json:"tokens,omitempty" toml:"tokens"`
		Running  int     `json:"running,omitempty" toml:"running"`
		Price    int64   `json:"price,omitempty" toml:"price"`
		Repeat   bool    `json:"repeat,omitempty" toml:"repeat"`
	}

	// Contract is what one customer was promised and what it may use.
	Contract struct {
		Customer string   `json:"customer" toml:"customer"`
		Keys     []string `json:"keys" toml:"keys"`
		Models   []string `json:"models,omitempty" toml:"models"`
		Ceiling  int64    `json:"ceiling,omitempty" toml:"ceiling"`
		Classes  []Class  `json:"classes" toml:"classes"`
	}

	// Invalid names the key of a contract that is refused, and why.
	Invalid struct {
		Key    string
		Reason string
	}
)

// Error returns the key and the reason.
func (e *Invalid) Error() string {
	return e.Key + ": " + e.Reason
}

func invalid(key, format string, args ...any) error {
	return &Invalid{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// ParseSpan decodes a span such as "3s"; a missing unit or a negative span is an error.
func ParseSpan(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, fmt.Errorf("%q is not a duration with a unit, such as \"3s\"", text)
	}
	if d < 0 {
		return 0, fmt.Errorf("%q is negative", text)
	}
	return d, nil
}

// UnmarshalText decodes a span as ParseSpan does.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := ParseSpan(string(text))
	*s = Span(d)
	return err
}

// MarshalText encodes the span with its units.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalJSON decodes and checks a contract; unknown keys are an error.
func (c *Contract) UnmarshalJSON(data []byte) error {
	type plain Contract
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode((*plain)(c)); err != nil {
		return err
	}
	return c.Check()
}

// Check returns an *Invalid for the first key that breaks the rules of a contract.
func (c *Contract) Check() error {
	switch {
	case !validName.MatchString(c.Customer):
		return invalid("customer", "%q is not a name of a-z, 0-9, '.', '_' and '-'", c.Customer)
	case len(c.Keys) == 0 || len(c.Keys) > MaxKeys:
		return invalid("keys", "must hold 1 to %d hashes", MaxKeys)
	case c.Ceiling < 0:
		return invalid("ceiling", "is negative")
	case len(c.Classes) == 0 || len(c.Classes) > MaxClasses:
		return invalid("classes", "must hold 1 to %d classes", MaxClasses)
	}
	for i, k := range c.Keys {
		if !validHash(k) {
			return invalid(fmt.Sprintf("keys[%d]", i), "is not sha256: and 64 hex digits")
		}
	}
	seen := map[string]bool{}
	for i := range c.Classes {
		l := &c.Classes[i]
		if err := l.check(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
		if seen[l.Name] {
			return invalid(fmt.Sprintf("classes[%d].name", i), "%q stands twice", l.Name)
		}
		seen[l.Name] = true
	}
	return nil
}

func validHash(k string) bool {
	digits, ok := strings.CutPrefix(k, keyPrefix)
	sum, err := hex.DecodeString(digits)
	return ok && err == nil && len(sum) == keyBytes
}

func (l *Class) check(at string) error {
	switch {
	case !validName.MatchString(l.Name):
		return invalid(at+".name", "%q is not a name of a-z, 0-9, '.', '_' and '-'", l.Name)
	case l.Tier < 1 || l.Tier > Tiers:
		return invalid(at+".tier", "unknown tier %d; tiers are 1 to %d", l.Tier, Tiers)
	case !within(l.Share, MaxShare):
		return invalid(at+".share", "must be 0 to %g percent", MaxShare)
	case !within(l.Rate, 1e6):
		return invalid(at+".rate", "must be 0 to 1000000 requests a second")
	case !within(l.Burst, 1e6):
		return invalid(at+".burst", "must be 0 to 1000000 requests")
	case !within(l.Tokens, 1e9):
		return invalid(at+".tokens", "must be 0 to 1000000000 tokens a second")
	case l.Running < 0:
		return invalid(at+".running", "is negative")
	case l.Price < 0:
		return invalid(at+".price", "is negative")
	}
	return nil
}

// within reports whether v is a number from 0 to limit.
func within(v, limit float64) bool {
	return v >= 0 && v <= limit
}

// Class returns the class of the given name, or the first class for an empty name.
func (c *Contract) Class(name string) (Class, error) {
	if name == "" {
		return c.Classes[0], nil
	}
	for _, l := range c.Classes {
		if l.Name == name {
			return l, nil
		}
	}
	return Class{}, fmt.Errorf("class %q is not in the contract of %s", name, c.Customer)
}

// Allows reports whether the contract covers a model or service.
func (c *Contract) Allows(model string) bool {
	if len(c.Models) == 0 {
		return true
	}
	for _, m := range c.Models {
		if m == model {
			return true
		}
	}
	return false
}

// Wait returns how long a request of the class may wait in a queue.
func (l *Class) Wait() time.Duration {
	if l.Patience > 0 {
		return time.Duration(l.Patience)
	}
	return DefaultPatience
}

// Share returns the sum of the contract's guaranteed shares, in thousandths of a percent.
func (c *Contract) Share() int64 {
	var sum int64
	for _, l := range c.Classes {
		sum += int64(math.Round(l.Share * milli))
	}
	return sum
}

// Fits returns an *Invalid when the contract's shares do not fit beside those promised to others, in thousandths of a percent.
func (c *Contract) Fits(others int64) error {
	if sum := others + c.Share(); sum > MaxShare*milli {
		return invalid("classes.share", "guaranteed shares would add up to %g%%; at most %g%% can be promised",
			float64(sum)/milli, MaxShare)
	}
	return nil
}

// errBadKey tells that a caller's key is in no contract.
var errBadKey = errors.New("key is not known")
