package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/broker"
	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/memb"
	"github.com/greengagewheel/greengagewheel/internal/meter"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
)

const (
	callTimeout = 5 * time.Second
	waitTimeout = 15 * time.Second
	waitEvery   = 50 * time.Millisecond
	maxBody     = 1 << 20
)

type (
	// Change is an operator's change of a contract.
	Change struct {
		Change   string         `json:"change"`
		Expect   uint64         `json:"expect"`
		Author   string         `json:"author"`
		Wait     bool           `json:"wait,omitempty"`
		Contract contr.Contract `json:"contract"`
	}

	// Changed tells what became of a change.
	Changed struct {
		Code    ctrl.Code     `json:"code"`
		Reason  string        `json:"reason,omitempty"`
		Version uint64        `json:"version,omitempty"`
		Author  string        `json:"author,omitempty"`
		Change  string        `json:"change"`
		Waited  time.Duration `json:"waited,omitempty"`
		Members int           `json:"members,omitempty"`
	}

	// Options holds what the operators' interface needs.
	Options struct {
		Self   ctrl.Instance
		Key    string
		View   func() *ctrl.View
		Age    func(now time.Time) time.Duration
		Ready  func(now time.Time) error
		Bound  time.Duration
		Quorum *quorum.Client
		Broker *broker.Broker
		Meter  *meter.Meter
		Log    *zap.Logger
	}

	// Admin serves the operators of one instance.
	Admin struct {
		opt Options
		app *fiber.App
	}

	failure struct {
		Error string `json:"error"`
	}
)

// New returns an interface for operators.
func New(opt Options) *Admin {
	a := &Admin{opt: opt}
	a.app = fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true, BodyLimit: maxBody})
	a.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	a.app.Get("/readyz", a.ready)
	a.app.Use(a.guard)
	a.app.Get("/metrics", adaptor.HTTPHandler(opt.Meter.Handler()))
	a.app.Get("/v1/contracts", a.list)
	a.app.Get("/v1/contracts/:customer", a.get)
	a.app.Put("/v1/contracts/:customer", a.put)
	a.app.Delete("/v1/contracts/:customer", a.drop)
	a.app.Get("/v1/instances", a.instances)
	a.app.Get("/v1/cells", a.cells)
	a.app.Get("/v1/state", a.state)
	a.app.Post("/v1/orders", a.order)
	return a
}

// Serve answers operators on the listener until Close.
func (a *Admin) Serve(l net.Listener) error {
	return a.app.Listener(l)
}

// Close stops listening.
func (a *Admin) Close(ctx context.Context) error {
	return a.app.ShutdownWithContext(ctx)
}

func (a *Admin) guard(c *fiber.Ctx) error {
	if !peer.BearerMatches(c.Get("Authorization"), a.opt.Key) {
		return c.Status(http.StatusUnauthorized).JSON(failure{"the operator key is missing or wrong"})
	}
	return c.Next()
}

func (a *Admin) ready(c *fiber.Ctx) error {
	if err := a.opt.Ready(time.Now()); err != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

func (a *Admin) list(c *fiber.Ctx) error {
	out := []contr.Contract{}
	a.opt.View().Contracts.Each(func(k *contr.Contract) { out = append(out, *k) })
	return c.JSON(out)
}

func (a *Admin) get(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	v, err := a.opt.Quorum.Read(ctx, quorum.Query{Customer: c.Params("customer")})
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(failure{err.Error()})
	}
	if v.Contract == nil {
		return c.Status(http.StatusNotFound).JSON(failure{"no such contract"})
	}
	return c.JSON(v.Contract)
}

func (a *Admin) put(c *fiber.Ctx) error {
	var ch Change
	if err := json.Unmarshal(c.Body(), &ch); err != nil {
		return c.Status(http.StatusBadRequest).JSON(Changed{Code: ctrl.Invalid, Reason: err.Error()})
	}
	if ch.Contract.Customer != c.Params("customer") {
		return c.Status(http.StatusBadRequest).JSON(Changed{Code: ctrl.Invalid, Reason: "customer: differs from the path"})
	}
	if ch.Change == "" {
		ch.Change = uuid.NewString()
	}
	cmd := ctrl.Command{Put: &ctrl.PutContract{ChangeID: ch.Change, BaseVersion: ch.Expect, Author: ch.Author, Contract: ch.Contract}}
	return a.change(c, cmd, ch)
}

func (a *Admin) drop(c *fiber.Ctx) error {
	expect, err := strconv.ParseUint(c.Query("expect"), 10, 64)
	if err != nil {
		return c.Status(http.StatusBadRequest).JSON(Changed{Code: ctrl.Invalid, Reason: "expect: is missing or not a version"})
	}
	ch := Change{Change: c.Query("change", uuid.NewString()), Author: c.Query("author"), Wait: c.QueryBool("wait")}
	cmd := ctrl.Command{Drop: &ctrl.DropContract{ChangeID: ch.Change, BaseVersion: expect, Author: ch.Author, Customer: c.Params("customer")}}
	return a.change(c, cmd, ch)
}

// change commits a change, and waits until it is in force everywhere where that is asked for.
func (a *Admin) change(c *fiber.Ctx, cmd ctrl.Command, ch Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	res, err := a.opt.Quorum.Propose(ctx, cmd)
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(Changed{
			Code: "unknown", Reason: "the change may or may not have been accepted; send it again with the same change ID", Change: ch.Change,
		})
	}
	out := Changed{Code: res.Code, Reason: res.Reason, Version: res.Version, Author: res.Author, Change: ch.Change}
	a.opt.Log.Info("contract changed", zap.String("author", ch.Author), zap.String("change", ch.Change),
		zap.String("code", string(res.Code)), zap.Uint64("version", res.Version), zap.String("reason", res.Reason))
	switch res.Code {
	case ctrl.OK:
	case ctrl.Conflict:
		return c.Status(http.StatusConflict).JSON(out)
	case ctrl.NotFound:
		return c.Status(http.StatusNotFound).JSON(out)
	default:
		return c.Status(http.StatusUnprocessableEntity).JSON(out)
	}
	if ch.Wait {
		start := time.Now()
		if out.Members, err = a.inForce(ctx, res.Version, start); err != nil {
			out.Reason = "accepted, but not yet seen in force everywhere"
		}
		out.Waited = time.Since(start)
	}
	return c.JSON(out)
}

// inForce waits until each instance has applied a version that was accepted before a moment, or has lapsed.
// It returns how many are known to have it.
func (a *Admin) inForce(ctx context.Context, version uint64, accepted time.Time) (int, error) {
	members := 1
	for {
		v, err := a.opt.Quorum.Read(ctx, quorum.Query{LeastVersion: true})
		members = max(members, v.InstanceCount)
		if err == nil && v.LeastVersion >= version || memb.Lapsed(time.Now(), accepted, a.opt.Bound) {
			return members, nil
		}
		if !pace.Pause(ctx, waitEvery) {
			return 0, errors.Join(ctx.Err(), err)
		}
	}
}

func (a *Admin) instances(c *fiber.Ctx) error {
	v := a.opt.View()
	return c.JSON(fiber.Map{"version": v.Version, "age": a.opt.Age(clock.Now()).String(), "instances": v.Instances})
}

func (a *Admin) cells(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.JSON(a.opt.Broker.States(ctx, cell.Names(a.opt.View())))
}

func (a *Admin) state(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	v, err := a.opt.Quorum.Read(ctx, quorum.Query{})
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(failure{err.Error()})
	}
	return c.JSON(v)
}

func (a *Admin) order(c *fiber.Ctx) error {
	var o ctrl.Order
	if err := json.Unmarshal(c.Body(), &o); err != nil {
		return c.Status(http.StatusBadRequest).JSON(failure{err.Error()})
	}
	cmd := ctrl.Command{Order: &o}
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	if err := cmd.Check(); err != nil || o.DoneFence != 0 || o.Endpoint == "" {
		return c.Status(http.StatusUnprocessableEntity).JSON(failure{"order: endpoint, kind and value are needed"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	res, err := a.opt.Quorum.Propose(ctx, cmd)
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(failure{err.Error()})
	}
	return c.JSON(res)
}
