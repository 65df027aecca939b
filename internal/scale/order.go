package scale

// Order is the wanted number of endpoints of one kind for a service in an availability zone.
type Order struct {
	Service string `json:"s"`
	Zone    string `json:"z"`
	// Spot is set for endpoints that cost less and may be reclaimed at short notice.
	Spot  bool `json:"p,omitempty"`
	Count int  `json:"n"`
	// Reason says why the order was decided on; it is logged and not stored.
	Reason string `json:"-"`
}

// Subject returns the subject of the duty that the order belongs to: its service and zone.
func (o *Order) Subject() string {
	return o.Service + "/" + o.Zone
}
