package proxy

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/detour"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/notice"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

// unnamedRefusalTime is how long requests are sent over new connections to an endpoint that has refused one without naming it.
const unnamedRefusalTime = 10 * time.Second

// errUnnamedRefusal means that only a refusal came that may be that of another request.
var errUnnamedRefusal = fmt.Errorf("%w: a refusal names no request, and no other response follows", errForeignResponse)

// idleConn returns an idle connection for a request, or nil if it should be sent over a new one, on which a response can only be the one
// to the request. That is so while the endpoint refuses requests without naming them, and if an engine has to prove its start and has not
// done so on the connection.
func (p *Proxy) idleConn(now time.Time, dest egress.Dest, requestID string, mustProve bool) *egress.Conn {
	conn := p.pools.Idle(now, dest, requestID)
	if conn == nil {
		return nil
	}
	refusedAt, refused := p.unnamedRefusals.Load(notice.Start{ID: dest.ID, StartedAtMS: dest.StartedAtMS})
	if at, _ := refusedAt.(time.Time); refused && now.Sub(at) < unnamedRefusalTime {
		_ = conn.Close()
		return nil
	}
	if mustProve && conn.ProvenStart() == 0 {
		p.pools.Keep(now, conn)
		return nil
	}
	return conn
}

// noteUnnamedRefusal records that an endpoint has refused a request without naming it.
func (p *Proxy) noteUnnamedRefusal(ep notice.Start) {
	p.unnamedRefusals.Store(ep, p.opt.Now())
}

// noteSkipped records a response that does not belong to the request.
func (req *request) noteSkipped(choice place.Choice, resp *http.Response, info ResponseInfo) {
	req.proxy.responsesSkipped.Add(1)
	req.log.Info("response to another request skipped", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID),
		zap.String("other", info.ID), zap.Int("status", resp.StatusCode), zap.Duration("after", req.proxy.opt.Now().Sub(req.sentAt)))
}

// noteSkippedOrder records a response to another request than that of an order. After a refusal that names no request, it limits the wait
// for the response.
func (p *Proxy) noteSkippedOrder(order *detour.Order, call *egress.Call, info ResponseInfo) {
	p.responsesSkipped.Add(1)
	p.opt.Log.Info("response to another request skipped", zap.String("id", order.RequestID), zap.String("run", order.RunID),
		zap.String("endpoint", order.EndpointID), zap.String("other", info.ID))
	if !info.isUnnamedRefusal() || order.Expected <= 0 {
		return
	}
	if err := call.SetReadTimeout(order.Expected); err != nil {
		p.opt.Log.Info("wait for a response not limited", zap.String("run", order.RunID), zap.String("endpoint", order.EndpointID),
			zap.Error(err))
	}
}

// limitWait limits the wait for the response to the request after a refusal that names no request. If the refusal is that of another
// request, the response follows; if it is that of this one, nothing does.
func (req *request) limitWait(choice place.Choice, call exchange) {
	// A request that may be sent again keeps its silence watch, which seeks another endpoint at the timeout.
	if !req.mayRetry() {
		call.OnTimeout(func() time.Duration { return 0 })
	}
	if err := call.SetReadTimeout(req.expectedTimeout(req.proxy.opt.Now(), &choice)); err != nil {
		req.log.Info("wait for a response not limited", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID), zap.Error(err))
	}
}
