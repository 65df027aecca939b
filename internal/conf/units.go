package conf

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/contr"
)

var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"kB", 1_000},
	{"MB", 1_000_000},
	{"GB", 1_000_000_000},
	{"B", 1},
}

type (
	// Duration is a time span whose text states its unit.
	Duration time.Duration

	// Size is a number of bytes whose text states its unit.
	Size int64
)

// UnmarshalText decodes a span such as "3s"; a missing unit or a negative span is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := contr.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText encodes the span with its units.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the span as the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// UnmarshalText decodes a size such as "8MiB"; a missing unit or a negative size is an error.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		num, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(num), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit, such as \"8MiB\"", text)
}
