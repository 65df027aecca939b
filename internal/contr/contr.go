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
	// MaxShare is the largest sum of guaranteed shares, in percent of a cell's capacity. The rest is kept for classes without a
	// guaranteed share.
	MaxShare = 95.0
	// DefaultMaxQueueTime is how long a request may be queued if its class does not set a limit.
	DefaultMaxQueueTime = 10 * time.Second

	// thousandthsPerPercent converts percent to thousandths of a percent, in which shares are added up without rounding errors.
	thousandthsPerPercent = 1000
	hashPrefix            = "sha256:"
	hashBytes             = 32
)

// validName matches the names of customers and classes.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

type (
	// Duration is a duration that is written with its unit in JSON and TOML.
	Duration time.Duration

	// Class is a request class of a customer. A RequestRate, TokenRate or MaxRunning of 0 means "no limit".
	Class struct {
		Name string `json:"name" toml:"name"`
		// Tier is the service tier; 1 is the highest.
		Tier int `json:"tier" toml:"tier"`
		// Share is the guaranteed share of a cell's capacity, in percent.
		Share float64 `json:"share,omitempty" toml:"share"`
		// FirstTokenTarget and TokenIntervalTarget are the promised time to the first token and mean time between tokens; the
		// scheduler does not read them.
		FirstTokenTarget    Duration `json:"first,omitempty" toml:"first"`
		TokenIntervalTarget Duration `json:"gap,omitempty" toml:"gap"`
		// MaxQueueTime is the longest time in a queue, or 0 for DefaultMaxQueueTime.
		MaxQueueTime Duration `json:"patience,omitempty" toml:"patience"`
		// RequestRate limits requests per second, with bursts of RequestBurst requests; a RequestBurst of 0 allows the requests of
		// one second, but at least one.
		RequestRate  float64 `json:"rate,omitempty" toml:"rate"`
		RequestBurst float64 `json:"burst,omitempty" toml:"burst"`
		// TokenRate limits input and output tokens per second.
		TokenRate float64 `json:"tokens,omitempty" toml:"tokens"`
		// MaxRunning limits the concurrent requests.
		MaxRunning int `json:"running,omitempty" toml:"running"`
		// Price is the price of 1,000 tokens in micro-euros.
		Price int64 `json:"price,omitempty" toml:"price"`
		// Idempotent is set if calls of the class may be executed more than once.
		Idempotent bool `json:"repeat,omitempty" toml:"repeat"`
	}

	// Contract is the contract of one customer.
	Contract struct {
		Customer string `json:"customer" toml:"customer"`
		// Keys holds hashes of the customer's API keys as returned by HashKey.
		Keys []string `json:"keys" toml:"keys"`
		// Models holds the models and services that the customer may use; none means all.
		Models []string `json:"models,omitempty" toml:"models"`
		// Ceiling is the spending ceiling per calendar month in micro-euros, or 0 for none.
		Ceiling int64 `json:"ceiling,omitempty" toml:"ceiling"`
		// Classes holds the request classes; the first one applies to requests that name none.
		Classes []Class `json:"classes" toml:"classes"`
	}

	// FieldError is the error for an invalid contract: the path of the offending field and the reason.
	FieldError struct {
		Key    string
		Reason string
	}
)

// Error returns the path of the field and the reason.
func (e *FieldError) Error() string {
	return e.Key + ": " + e.Reason
}

func newFieldError(key, format string, args ...any) error {
	return &FieldError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// ParseDuration parses a duration such as "3s". A missing unit or a negative duration is an error.
func ParseDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, fmt.Errorf("%q is not a duration with a unit, such as \"3s\"", text)
	}
	if duration < 0 {
		return 0, fmt.Errorf("%q is negative", text)
	}
	return duration, nil
}

// UnmarshalText parses a duration with its unit; the errors are those of ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := ParseDuration(string(text))
	*d = Duration(duration)
	return err
}

// MarshalText encodes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalJSON decodes and checks a contract. Unknown fields are an error.
func (c *Contract) UnmarshalJSON(data []byte) error {
	type plain Contract
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*plain)(c)); err != nil {
		return err
	}
	return c.Check()
}

// Check returns a *FieldError for the first invalid field.
func (c *Contract) Check() error {
	switch {
	case !validName.MatchString(c.Customer):
		return newFieldError("customer", "%q is not a name of a-z, 0-9, '.', '_' and '-'", c.Customer)
	case len(c.Keys) == 0 || len(c.Keys) > MaxKeys:
		return newFieldError("keys", "must hold 1 to %d hashes", MaxKeys)
	case c.Ceiling < 0:
		return newFieldError("ceiling", "is negative")
	case len(c.Classes) == 0 || len(c.Classes) > MaxClasses:
		return newFieldError("classes", "must hold 1 to %d classes", MaxClasses)
	}
	for i, key := range c.Keys {
		if !validHash(key) {
			return newFieldError(fmt.Sprintf("keys[%d]", i), "is not sha256: and 64 hex digits")
		}
	}
	seen := map[string]bool{}
	for i := range c.Classes {
		class := &c.Classes[i]
		if err := class.check(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
		if seen[class.Name] {
			return newFieldError(fmt.Sprintf("classes[%d].name", i), "%q stands twice", class.Name)
		}
		seen[class.Name] = true
	}
	return nil
}

// validHash reports whether hash has the form returned by HashKey.
func validHash(hash string) bool {
	digits, prefixed := strings.CutPrefix(hash, hashPrefix)
	sum, err := hex.DecodeString(digits)
	return prefixed && err == nil && len(sum) == hashBytes
}

// check returns a *FieldError for the first invalid field of a class; path is the path of the class in its contract.
func (c *Class) check(path string) error {
	switch {
	case !validName.MatchString(c.Name):
		return newFieldError(path+".name", "%q is not a name of a-z, 0-9, '.', '_' and '-'", c.Name)
	case c.Tier < 1 || c.Tier > Tiers:
		return newFieldError(path+".tier", "unknown tier %d; tiers are 1 to %d", c.Tier, Tiers)
	case !inRange(c.Share, MaxShare):
		return newFieldError(path+".share", "must be 0 to %g percent", MaxShare)
	case !inRange(c.RequestRate, 1e6):
		return newFieldError(path+".rate", "must be 0 to 1000000 requests a second")
	case !inRange(c.RequestBurst, 1e6):
		return newFieldError(path+".burst", "must be 0 to 1000000 requests")
	case !inRange(c.TokenRate, 1e9):
		return newFieldError(path+".tokens", "must be 0 to 1000000000 tokens a second")
	case c.MaxRunning < 0:
		return newFieldError(path+".running", "is negative")
	case c.Price < 0:
		return newFieldError(path+".price", "is negative")
	}
	return nil
}

// inRange reports whether v is a number from 0 to limit; it is false for NaN.
func inRange(v, limit float64) bool {
	return v >= 0 && v <= limit
}

// Class returns the class of the given name, or the first class for an empty name. An unknown class is an error.
func (c *Contract) Class(name string) (Class, error) {
	if name == "" {
		return c.Classes[0], nil
	}
	for _, class := range c.Classes {
		if class.Name == name {
			return class, nil
		}
	}
	return Class{}, fmt.Errorf("class %q is not in the contract of %s", name, c.Customer)
}

// Allows reports whether the customer may use a model or service.
func (c *Contract) Allows(model string) bool {
	if len(c.Models) == 0 {
		return true
	}
	for _, allowed := range c.Models {
		if allowed == model {
			return true
		}
	}
	return false
}

// EffectiveMaxQueueTime returns the longest time that a request of the class may be queued, with the default applied.
func (c *Class) EffectiveMaxQueueTime() time.Duration {
	if c.MaxQueueTime > 0 {
		return time.Duration(c.MaxQueueTime)
	}
	return DefaultMaxQueueTime
}

// TotalShare returns the sum of the contract's guaranteed shares, in thousandths of a percent.
func (c *Contract) TotalShare() int64 {
	var sum int64
	for _, class := range c.Classes {
		sum += int64(math.Round(class.Share * thousandthsPerPercent))
	}
	return sum
}

// CheckShares returns a *FieldError if the contract's guaranteed shares and those of other contracts together exceed MaxShare;
// otherShares is in thousandths of a percent.
func (c *Contract) CheckShares(otherShares int64) error {
	if sum := otherShares + c.TotalShare(); sum > MaxShare*thousandthsPerPercent {
		return newFieldError("classes.share", "guaranteed shares would add up to %g%%; at most %g%% can be promised",
			float64(sum)/thousandthsPerPercent, MaxShare)
	}
	return nil
}

// errUnknownKey means that no contract has the caller's key.
var errUnknownKey = errors.New("key is not known")
