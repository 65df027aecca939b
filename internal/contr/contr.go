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
	// DefaultPatience is how long a request may be queued if its class does not set a limit.
	DefaultPatience = 10 * time.Second

	// millisPerPercent converts percent to thousandths of a percent, in which shares are added up without rounding errors.
	millisPerPercent = 1000
	hashPrefix       = "sha256:"
	hashBytes        = 32
)

// validName matches the names of customers and classes.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

type (
	// Span is a duration that is written with its unit in JSON and TOML.
	Span time.Duration

	// Class is a request class of a customer. Zero limits mean "no limit".
	//
	// Tier is the service tier and Share the guaranteed share of a cell's capacity, in percent. First and Gap are the promised
	// time to the first token and mean time between tokens; the scheduler does not read them. Patience is the longest time in a
	// queue. Rate limits requests per second, with bursts of Burst requests; a Burst of 0 allows the requests of one second.
	// Tokens limits input and output tokens per second, and Running the concurrent requests. Price is the price of 1,000 tokens
	// in micro-euros. Repeat tells that calls of the class may be executed more than once.
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

	// Contract is the contract of one customer. Keys holds hashes of the customer's API keys as returned by Hash. Models holds
	// the models and services it may use; none means all. Ceiling is the spending ceiling per calendar month in micro-euros, or
	// 0 for none. The first class applies to requests that name none.
	Contract struct {
		Customer string   `json:"customer" toml:"customer"`
		Keys     []string `json:"keys" toml:"keys"`
		Models   []string `json:"models,omitempty" toml:"models"`
		Ceiling  int64    `json:"ceiling,omitempty" toml:"ceiling"`
		Classes  []Class  `json:"classes" toml:"classes"`
	}

	// Invalid is the error for an invalid contract: the path of the offending field and the reason.
	Invalid struct {
		Key    string
		Reason string
	}
)

// Error returns the path of the field and the reason.
func (e *Invalid) Error() string {
	return e.Key + ": " + e.Reason
}

func invalid(key, format string, args ...any) error {
	return &Invalid{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// ParseSpan parses a duration such as "3s". A missing unit or a negative duration is an error.
func ParseSpan(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, fmt.Errorf("%q is not a duration with a unit, such as \"3s\"", text)
	}
	if duration < 0 {
		return 0, fmt.Errorf("%q is negative", text)
	}
	return duration, nil
}

// UnmarshalText parses a duration with its unit; the errors are those of ParseSpan.
func (s *Span) UnmarshalText(text []byte) error {
	duration, err := ParseSpan(string(text))
	*s = Span(duration)
	return err
}

// MarshalText encodes the duration with its unit.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
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

// Check returns an *Invalid for the first invalid field.
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
	for i, key := range c.Keys {
		if !validHash(key) {
			return invalid(fmt.Sprintf("keys[%d]", i), "is not sha256: and 64 hex digits")
		}
	}
	seen := map[string]bool{}
	for i := range c.Classes {
		class := &c.Classes[i]
		if err := class.check(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
		if seen[class.Name] {
			return invalid(fmt.Sprintf("classes[%d].name", i), "%q stands twice", class.Name)
		}
		seen[class.Name] = true
	}
	return nil
}

// validHash reports whether hash has the form returned by Hash.
func validHash(hash string) bool {
	digits, prefixed := strings.CutPrefix(hash, hashPrefix)
	sum, err := hex.DecodeString(digits)
	return prefixed && err == nil && len(sum) == hashBytes
}

// check returns an *Invalid for the first invalid field of a class; path is the path of the class in its contract.
func (c *Class) check(path string) error {
	switch {
	case !validName.MatchString(c.Name):
		return invalid(path+".name", "%q is not a name of a-z, 0-9, '.', '_' and '-'", c.Name)
	case c.Tier < 1 || c.Tier > Tiers:
		return invalid(path+".tier", "unknown tier %d; tiers are 1 to %d", c.Tier, Tiers)
	case !inRange(c.Share, MaxShare):
		return invalid(path+".share", "must be 0 to %g percent", MaxShare)
	case !inRange(c.Rate, 1e6):
		return invalid(path+".rate", "must be 0 to 1000000 requests a second")
	case !inRange(c.Burst, 1e6):
		return invalid(path+".burst", "must be 0 to 1000000 requests")
	case !inRange(c.Tokens, 1e9):
		return invalid(path+".tokens", "must be 0 to 1000000000 tokens a second")
	case c.Running < 0:
		return invalid(path+".running", "is negative")
	case c.Price < 0:
		return invalid(path+".price", "is negative")
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

// Wait returns the longest time that a request of the class may be queued.
func (c *Class) Wait() time.Duration {
	if c.Patience > 0 {
		return time.Duration(c.Patience)
	}
	return DefaultPatience
}

// Share returns the sum of the contract's guaranteed shares, in thousandths of a percent.
func (c *Contract) Share() int64 {
	var sum int64
	for _, class := range c.Classes {
		sum += int64(math.Round(class.Share * millisPerPercent))
	}
	return sum
}

// Fits returns an *Invalid if the contract's guaranteed shares and those of other contracts together exceed MaxShare;
// otherShares is in thousandths of a percent.
func (c *Contract) Fits(otherShares int64) error {
	if sum := otherShares + c.Share(); sum > MaxShare*millisPerPercent {
		return invalid("classes.share", "guaranteed shares would add up to %g%%; at most %g%% can be promised",
			float64(sum)/millisPerPercent, MaxShare)
	}
	return nil
}

// errUnknownKey means that no contract has the caller's key.
var errUnknownKey = errors.New("key is not known")
