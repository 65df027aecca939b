package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/notice"
	"github.com/greengagewheel/greengagewheel/internal/origin"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// takeUpMargin is how long after its caller's deadline a stream may still be taken up.
	takeUpMargin = 2 * time.Second
	// startQueryTimeout bounds the wait for an engine to tell its start time: several round trips between zones.
	startQueryTimeout = 300 * time.Millisecond
	// untoldFor is how long an engine that has not told its start time is not asked again.
	untoldFor = 10 * time.Second
	// defaultTakeUpTime is how long a stream may be taken up whose caller names no deadline.
	defaultTakeUpTime = time.Minute
)

var (
	// errStartUntold means that an engine gave no usable report of its start time.
	errStartUntold = errors.New("the engine does not tell its start time")
	// errOtherStart means that an engine told another start than the announced one.
	errOtherStart = errors.New("the process started")
	// errUnmatchedAnswer means that an engine's start is not known from an answer that may be one to an earlier request.
	errUnmatchedAnswer = errors.New("the answer may belong to an earlier request on the connection")
)

// findOrigin finds the software version at which the stream began that the request goes on with, if any. It returns a rejection if
// that is not known: an endpoint of another version would send what does not fit.
func (req *request) findOrigin() *rejection {
	resumes, after := req.caller.Resumes, req.caller.LastEventID
	if req.route.Kind != table.Streaming || after == "" && (resumes == "" || !req.route.Resumable) {
		return nil
	}
	from, found := req.lookUpOrigin(resumes)
	certain := found && from.Certain(req.proxy.opt.View().Endpoints)
	req.log.Info("stream taken up", zap.String("resumes", resumes), zap.String("after", after), zap.String("build", from.Build),
		zap.Bool("found", found), zap.Bool("certain", certain))
	if !certain {
		req.proxy.originsUnknown.Add(1)
		return &rejection{
			status: http.StatusServiceUnavailable, reason: "it is not known where the stream began", retryAfter: defaultRetryAfter,
		}
	}
	req.build = from.Build
	return req.bindService(from.Service)
}

// bindService sends the request to the service at which its stream began, if that is known. It returns a rejection if the route does not
// lead there any more.
func (req *request) bindService(name string) *rejection {
	if name == "" || name == req.service.Name {
		return nil
	}
	service := req.proxy.opt.View().Table.Service(name)
	if service == nil || !req.route.LeadsTo(name) {
		req.log.Info("the stream's service is not one of the route's", zap.String("service", name))
		return &rejection{
			status: http.StatusServiceUnavailable, reason: "the stream's service is not one of the route's", retryAfter: defaultRetryAfter,
		}
	}
	req.service = service
	req.retryWindow = req.proxy.retryWindows.window(service.Name)
	return nil
}

// lookUpOrigin finds the origin of the stream that the named request of the caller's organisation began. A caller that names none can
// only be served if the endpoints of the service have had one version for as long as its stream may be old: streams end by the timeout of
// their route.
func (req *request) lookUpOrigin(requestID string) (origin.Origin, bool) {
	ctx, origins := req.httpReq.Context(), req.proxy.opt.Origins
	if requestID == "" {
		build, known := origins.OnlyBuild(ctx, req.service.Name, req.route.Timeout+takeUpMargin)
		return origin.Origin{Build: build}, known
	}
	return origins.Find(ctx, origin.KeyOf(req.organisationName(), requestID))
}

// keepOrigin binds the stream to the software version of the endpoint whose first event goes to the caller, and records it for
// requests that go on with the stream. At an engine that has not told its start on the connection, it does so once the engine has: the
// process that answers may have started under the ID of the announced one, with another version.
func (req *request) keepOrigin(choice place.Choice, call exchange) {
	if !req.route.Resumable {
		return
	}
	from := origin.Origin{Build: req.buildOf(choice), Service: req.service.Name, EndpointID: choice.ID, StartedAtMS: choice.StartedAtMS}
	if !from.Certain(req.proxy.opt.View().Endpoints) {
		from.Build = ""
	}
	req.from = from
	if from.Build == "" {
		req.log.Info("software version of the stream not known", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID))
		return
	}
	req.build = from.Build
	record := origin.Record{Key: origin.KeyOf(req.organisationName(), req.caller.ID), Origin: from, Left: req.takeUpTime()}
	if req.service.Engine == nil || req.detoured() || call.ProvenStart() == choice.StartedAtMS {
		record.Origin.Proven = call.ProvenStart() != 0
		req.proof = settledProof(record.Origin.Proven)
		req.proxy.opt.Origins.Record(record)
		return
	}
	dest := egress.Dest{ID: choice.ID, Addr: choice.Addr, StartedAtMS: choice.StartedAtMS}
	req.proof = req.proxy.checkStart(dest, func(told bool) {
		if told {
			call.SetProvenStart(choice.StartedAtMS)
		}
		record.Origin.Proven = told
		req.proxy.opt.Origins.Record(record)
	})
}

// isOriginCertain reports whether the software version is known of the process that wrote the first event.
func (req *request) isOriginCertain() bool {
	if req.from.Build == "" {
		return false
	}
	accepted, told := req.proof.wait(req.httpReq.Context())
	return accepted && (told || req.from.Certain(req.proxy.opt.View().Endpoints))
}

// takeUpTime returns how long the caller may take up the stream.
func (req *request) takeUpTime() time.Duration {
	if req.caller.Deadline <= 0 {
		return defaultTakeUpTime
	}
	return max(0, req.arrivedAt.Add(req.caller.Deadline+takeUpMargin).Sub(req.proxy.opt.Now()))
}

// fits reports whether an endpoint may go on with the request's stream, if that is bound to a software version. The leader may know
// nothing of versions, and the endpoint may have started again since it was chosen.
func (req *request) fits(choice place.Choice) bool {
	if req.build == "" {
		return true
	}
	known, ok := req.proxy.opt.View().Endpoints[choice.ID]
	startedAgain := ok && known.StartedAtMS > choice.StartedAtMS
	return req.buildOf(choice) == req.build && !startedAgain
}

// mustProveStart reports whether the request may go only to the chosen start of an engine, as it is bound to a software version. A
// process that has just started under the ID and address of an earlier one accepts the request but may have another version, and its
// announcement may come late.
func (req *request) mustProveStart() bool {
	return req.build != "" && req.service.Engine != nil
}

// mayBeginStream reports whether a stream of an engine may begin that can go on elsewhere.
func (req *request) mayBeginStream() bool {
	return req.route.Kind == table.Streaming && req.route.Resumable && req.service.Engine != nil
}

// proveStart returns an error if the process at the other end of a connection tells another start time than the chosen one, or
// errStartUntold if it tells none. The latter is returned once in untoldFor, so that an engine that proves its start is tried first;
// where there is none, the announced start has to do, as else no stream would go on at engines whose report is missing or slow.
func (p *Proxy) proveStart(ctx context.Context, conn *egress.Conn, ep notice.Start) error {
	if conn.ProvenStart() == 0 {
		if untoldAt, _ := p.startsUntold.Load(ep); p.isRecent(untoldAt) {
			return nil
		}
		return p.queryStart(ctx, conn, ep)
	}
	return checkProvenStart(conn, ep)
}

// queryStart is proveStart for a process that is asked in any case. On a connection that served earlier requests, only an answer that
// tells a start counts, as each answer there is from the same process; the error is errUnmatchedAnswer for any other one.
func (p *Proxy) queryStart(ctx context.Context, conn *egress.Conn, ep notice.Start) error {
	body, err := p.pools.Query(ctx, conn, p.opt.Dialect.StartTarget(), startQueryTimeout)
	if err != nil {
		switch {
		case !isUnanswered(err):
			return err
		case conn.Reused() && !isTimeout(err):
			return errors.Join(errUnmatchedAnswer, err)
		}
		return p.noteStartUntold(ep, err)
	}
	start, told, err := p.opt.Dialect.DecodeStart(body)
	switch {
	case conn.Reused() && (err != nil || !told):
		return errors.Join(errUnmatchedAnswer, err)
	case err != nil:
		return p.noteStartUntold(ep, fault.Wrap("decode start", conn.RemoteAddr().String(), err))
	case !told:
		return nil
	}
	conn.SetProvenStart(start)
	return checkProvenStart(conn, ep)
}

// checkProvenStart returns an error if the process at the other end of a connection has told another start than the announced one.
func checkProvenStart(conn *egress.Conn, ep notice.Start) error {
	if conn.ProvenStart() != ep.StartedAtMS {
		return fault.Errorf("check start", conn.RemoteAddr().String(), "%w at %d, not at %d", errOtherStart, conn.ProvenStart(), ep.StartedAtMS)
	}
	return nil
}

// isRecent reports whether an entry of startsUntold still counts.
func (p *Proxy) isRecent(untoldAt any) bool {
	at, ok := untoldAt.(time.Time)
	return ok && p.opt.Now().Sub(at) < untoldFor
}

// isUnanswered reports whether a query failed though the engine is there: it answered with a failure, or not in time.
func isUnanswered(err error) bool {
	var status *egress.StatusError
	var netErr net.Error
	return errors.As(err, &status) || errors.Is(err, egress.ErrConnectionEnds) || errors.As(err, &netErr) && netErr.Timeout()
}

// noteStartUntold notes that an engine does not tell its start time.
func (p *Proxy) noteStartUntold(ep notice.Start, err error) error {
	p.startsUntold.Store(ep, p.opt.Now())
	p.opt.Log.Warn("engine does not tell its start time", zap.String("endpoint", ep.ID), zap.Int64("born", ep.StartedAtMS), zap.Error(err))
	return errors.Join(errStartUntold, err)
}

// buildOf returns the software version of a chosen endpoint, or an empty one if it is not known.
func (req *request) buildOf(choice place.Choice) string {
	if choice.Build != "" {
		return choice.Build
	}
	ep, ok := req.proxy.opt.View().Endpoints[choice.ID]
	if !ok || ep.StartedAtMS != choice.StartedAtMS {
		return ""
	}
	return ep.Build
}
