package duty

import "errors"

// Duties that an instance may have.
const (
	// UsageReporting is the duty to report the usage of each organisation.
	UsageReporting Name = "usage_reporting"
	// Autoscaling is the duty to order the number of endpoints of each service and availability zone.
	Autoscaling Name = "autoscaling"
)

var (
	// ErrNotHolder means that this instance does not hold the duty.
	ErrNotHolder = errors.New("this instance does not hold the duty")
	// ErrStale means that the platform has refused a call: it has seen a higher token, or it cannot do what was asked.
	ErrStale = errors.New("the platform refuses the call")
	// ErrBusy means that the platform has had too many calls; the call was not carried out.
	ErrBusy = errors.New("the platform has had too many calls")
	// ErrUnanswered means that a call got no usable response and may still be carried out later.
	ErrUnanswered = errors.New("the platform did not answer the call")
)

type (
	// Name identifies a duty.
	Name string

	// Grant is the right of one instance to make calls for a duty and subject.
	Grant struct {
		Duty    Name
		Subject string
		// Holder is the name of the instance.
		Holder string
		// Token is the fencing token, higher than those of all earlier grants for the duty and subject.
		Token uint64
	}
)
