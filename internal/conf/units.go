package conf

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/contr"
)

// sizeUnits are the units of sizes. "B" is the last because the other names end with it.
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
	// Duration is a time.Duration whose text includes a unit.
	Duration time.Duration

	// Size is a number of bytes whose text includes a unit.
	Size int64
)

// UnmarshalText decodes a duration such as "3s". A missing unit or a negative duration is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := contr.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText encodes the duration with its units.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// UnmarshalText decodes a size such as "8MiB". A missing unit or a negative size is an error.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), unit.name)
		if !ok {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || count < 0 || count > (1<<62)/unit.bytes {
			break
		}
		*s = Size(count * unit.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit, such as \"8MiB\"", text)
}
