package router

import (
	"context"
	"errors"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/budget"
	"github.com/greengagewheel/greengagewheel/internal/pace"
)

const (
	// operatorClient stands for the organisation of operators and endpoints.
	operatorClient = "operators"
	// operatorRetryAfter is the Retry-After of a refused operator, in seconds.
	operatorRetryAfter = 1
)

// readOperatorBody reads the body of an operator's request within the budget. Requests whose body is refused have no effect.
func (r *Router) readOperatorBody(c *fiber.Ctx) error {
	stream := c.Context().RequestBodyStream()
	if stream == nil {
		return c.Next()
	}
	length := c.Context().Request.Header.ContentLength()
	if length > maxOperatorBodyBytes {
		return refuseOperator(c, fiber.ErrRequestEntityTooLarge)
	}
	host, _, _ := net.SplitHostPort(c.Context().RemoteAddr().String())
	conn := c.Context().Conn()
	hold, err := r.budget.Receive(budget.Client{Organisation: operatorClient, Address: host}, int64(length), func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	if err != nil {
		return refuseOperator(c, err)
	}
	defer hold.Release()
	buf := budget.NewBuffer(hold, int64(max(length, -1)))
	defer buf.Drop()
	ended, err := buf.Fill(stream, maxOperatorBodyBytes+1)
	if err == nil && !ended {
		err = fiber.ErrRequestEntityTooLarge
	}
	if err == nil {
		err = hold.Finish()
	}
	var body []byte
	if err == nil {
		body, err = buf.Bytes()
	}
	if cause := hold.Cause(); cause != nil {
		err = cause
	}
	if err != nil {
		return refuseOperator(c, err)
	}
	c.Request().SetBodyRaw(body)
	return c.Next()
}

// refuseOperator answers a request whose body was not read, and closes its connection.
func refuseOperator(c *fiber.Ctx, err error) error {
	status := fiber.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, fiber.ErrRequestEntityTooLarge):
		status = fiber.StatusRequestEntityTooLarge
	case errors.Is(err, budget.ErrFull):
		status = fiber.StatusServiceUnavailable
	case errors.Is(err, budget.ErrStalled), errors.As(err, &timeout) && timeout.Timeout():
		status = fiber.StatusRequestTimeout
	}
	if status == fiber.StatusServiceUnavailable || status == fiber.StatusRequestTimeout {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(operatorRetryAfter))
	}
	c.Context().SetConnectionClose()
	return c.Status(status).SendString(err.Error())
}

// watchBudget gives up bodies that have stalled, and logs at most one line in an interval about clients that were refused or given up.
func (r *Router) watchBudget(ctx context.Context) {
	if !r.budget.Bounded() {
		return
	}
	logged := r.budget.Counts()
	loggedConns := int64(math.MinInt64)
	pace.Every(ctx, budgetInterval, func() {
		r.budget.Tick()
		counts := r.budget.Counts()
		var conns int64
		if r.callerConns != nil {
			conns = r.callerConns.closedNew()
		}
		if loggedConns == math.MinInt64 {
			loggedConns = conns
		}
		if counts.Evicted == logged.Evicted && counts.Refused == logged.Refused && counts.Stalls == logged.Stalls && conns == loggedConns {
			return
		}
		r.log.Warn("clients refused or closed", zap.Int64("given_up", counts.Evicted-logged.Evicted),
			zap.Int64("refused", counts.Refused-logged.Refused), zap.Int64("stalled", counts.Stalls-logged.Stalls),
			zap.Int64("without_header", conns-loggedConns), zap.String("last", counts.LastClient.Address),
			zap.String("organisation", counts.LastClient.Organisation), zap.Int64("held", counts.Held))
		logged, loggedConns = counts, conns
	})
}
