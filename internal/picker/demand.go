package picker

import "github.com/greengagewheel/greengagewheel/internal/place"

// Demand returns the demand for the endpoints of a service. It is zero, which stands for unknown, on an instance that does not lead.
func (s *Server) Demand(service string) place.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.syncLeadership() {
		return place.Demand{}
	}
	return s.balancer.Demand(s.opt.Now(), service)
}
