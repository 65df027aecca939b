package conf

import (
	"errors"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/duty"
)

// Defaults of Duties, for settings that the platform omits because no duty that it names needs them.
const (
	defaultDutyRate       = 10
	defaultDutyLease      = 3 * time.Second
	defaultUsageWindow    = 5 * time.Second
	defaultUsageLate      = 10 * time.Second
	defaultUsageTolerance = 0.05
)

// Duties holds the duties towards the platform, each of which one instance at a time has.
type Duties struct {
	// Address is that of the platform's interface for these calls.
	Address netip.AddrPort `toml:"address"`
	Names   []duty.Name    `toml:"names"`
	// Rate is the number of calls a second that the platform accepts from all instances together.
	Rate float64 `toml:"rate"`
	// Lease is the time within which a duty must not go to another instance and back.
	Lease Duration `toml:"lease"`
	// Window is the length of a window of usage. A report is due before Late after the end of its window, and within Tolerance of the
	// true count.
	Window    Duration `toml:"window"`
	Late      Duration `toml:"late"`
	Tolerance float64  `toml:"tolerance"`
}

// Has reports whether the duty is among those named. It is false on a nil receiver.
func (d *Duties) Has(name duty.Name) bool {
	return d != nil && slices.Contains(d.Names, name)
}

// setDefaults sets the values that are absent. The section has no entry in Default, as its presence is what turns duties on.
func (d *Duties) setDefaults() {
	if d.Rate == 0 {
		d.Rate = defaultDutyRate
	}
	if d.Lease == 0 {
		d.Lease = Duration(defaultDutyLease)
	}
	if d.Window == 0 {
		d.Window = Duration(defaultUsageWindow)
	}
	if d.Late == 0 {
		d.Late = Duration(defaultUsageLate)
	}
	if d.Tolerance == 0 {
		d.Tolerance = defaultUsageTolerance
	}
}

func (d *Duties) check(mode string) (string, error) {
	switch {
	case mode != ModeRoutes:
		return "names", errors.New("duties need mode = \"routes\"")
	case !d.Address.IsValid():
		return "address", errors.New("is missing")
	case len(d.Names) == 0:
		return "names", errors.New("is missing or empty")
	case math.IsNaN(d.Rate) || math.IsInf(d.Rate, 0) || d.Rate < 0:
		return "rate", errors.New("must be a finite number that is not negative")
	case d.Tolerance < 0 || d.Tolerance > 1:
		return "tolerance", errors.New("must be 0 to 1")
	}
	return "", nil
}
