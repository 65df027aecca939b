package proxy

// countUsage counts the request for its organisation, once, when an endpoint has begun it: with the first event of a stream or the first
// byte of a call's answer. Attempts at other endpoints do not count again.
func (req *request) countUsage() {
	if req.counted || req.org == nil || req.proxy.opt.Usage == nil {
		return
	}
	req.counted = true
	req.proxy.opt.Usage.Count(req.org.Name)
}
