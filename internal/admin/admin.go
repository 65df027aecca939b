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
	// requestTimeout bounds reads of the state and orders.
	requestTimeout = 5 * time.Second
	// changeTimeout bounds a change of a contract, with the wait until it is in force.
	changeTimeout = 15 * time.Second
	// inForcePollInterval is the time between two checks whether a change is in force.
	inForcePollInterval = 50 * time.Millisecond
	maxBodyBytes        = 1 << 20
)

type (
	// Change is an operator's change of a contract.
	Change struct {
		// ChangeID identifies repetitions of the same change, so that it is applied once.
		ChangeID string `json:"change"`
		// BaseVersion is the version that the change is based on.
		BaseVersion uint64 `json:"expect"`
		Author      string `json:"author"`
		// Wait is set if the response is to be sent once the change is in force on all instances.
		Wait     bool           `json:"wait,omitempty"`
		Contract contr.Contract `json:"contract"`
	}

	// ChangeResult is the result of a change.
	ChangeResult struct {
		Code     ctrl.Code `json:"code"`
		Reason   string    `json:"reason,omitempty"`
		Version  uint64    `json:"version,omitempty"`
		Author   string    `json:"author,omitempty"`
		ChangeID string    `json:"change"`
		// Waited is how long the response waited for the change to be in force, in nanoseconds.
		Waited time.Duration `json:"waited,omitempty"`
		// InstanceCount is the number of instances that the wait covered.
		InstanceCount int `json:"members,omitempty"`
	}

	// Options configures an Admin.
	Options struct {
		// Self is this instance.
		Self ctrl.Instance
		// Key is the operators' key.
		Key string
		// View returns the control state of this instance.
		View func() *ctrl.View
		// ProofAge returns the age of the proof that the control state is current.
		ProofAge func(now time.Time) time.Duration
		// Ready returns the reason why the instance is not ready, or nil.
		Ready func(now time.Time) error
		// MaxProofAge is the largest age of the proof with which instances admit requests.
		MaxProofAge time.Duration
		Quorum      *quorum.Client
		Broker      *broker.Broker
		Meter       *meter.Meter
		Log         *zap.Logger
	}

	// Admin is the operators' HTTP interface of one instance.
	Admin struct {
		opt Options
		app *fiber.App
	}

	errorResponse struct {
		Error string `json:"error"`
	}
)

// New returns an Admin that does not listen yet.
func New(opt Options) *Admin {
	a := &Admin{opt: opt}
	a.app = fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true, BodyLimit: maxBodyBytes})
	a.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	a.app.Get("/readyz", a.handleReady)
	a.app.Use(a.requireOperatorKey)
	a.app.Get("/metrics", adaptor.HTTPHandler(opt.Meter.Handler()))
	a.app.Get("/v1/contracts", a.listContracts)
	a.app.Get("/v1/contracts/:customer", a.getContract)
	a.app.Put("/v1/contracts/:customer", a.putContract)
	a.app.Delete("/v1/contracts/:customer", a.dropContract)
	a.app.Get("/v1/instances", a.listInstances)
	a.app.Get("/v1/cells", a.listCells)
	a.app.Get("/v1/state", a.readState)
	a.app.Post("/v1/orders", a.submitOrder)
	return a
}

// Serve serves operators on the listener until Close is called.
func (a *Admin) Serve(l net.Listener) error {
	return a.app.Listener(l)
}

// Close stops listening and waits for requests in progress until ctx is done.
func (a *Admin) Close(ctx context.Context) error {
	return a.app.ShutdownWithContext(ctx)
}

func (a *Admin) requireOperatorKey(c *fiber.Ctx) error {
	if !peer.BearerMatches(c.Get("Authorization"), a.opt.Key) {
		return c.Status(http.StatusUnauthorized).JSON(errorResponse{"the operator key is missing or wrong"})
	}
	return c.Next()
}

func (a *Admin) handleReady(c *fiber.Ctx) error {
	if err := a.opt.Ready(time.Now()); err != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

func (a *Admin) listContracts(c *fiber.Ctx) error {
	contracts := []contr.Contract{}
	a.opt.View().Contracts.Each(func(contract *contr.Contract) { contracts = append(contracts, *contract) })
	return c.JSON(contracts)
}

func (a *Admin) getContract(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	queryResult, err := a.opt.Quorum.Read(ctx, quorum.Query{Customer: c.Params("customer")})
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(errorResponse{err.Error()})
	}
	if queryResult.Contract == nil {
		return c.Status(http.StatusNotFound).JSON(errorResponse{"no such contract"})
	}
	return c.JSON(queryResult.Contract)
}

func (a *Admin) putContract(c *fiber.Ctx) error {
	var change Change
	if err := json.Unmarshal(c.Body(), &change); err != nil {
		return c.Status(http.StatusBadRequest).JSON(ChangeResult{Code: ctrl.Invalid, Reason: err.Error()})
	}
	if change.Contract.Customer != c.Params("customer") {
		return c.Status(http.StatusBadRequest).JSON(ChangeResult{Code: ctrl.Invalid, Reason: "customer: differs from the path"})
	}
	if change.ChangeID == "" {
		change.ChangeID = uuid.NewString()
	}
	cmd := ctrl.Command{Put: &ctrl.PutContract{
		ChangeID: change.ChangeID, BaseVersion: change.BaseVersion, Author: change.Author, Contract: change.Contract,
	}}
	return a.commitChange(c, cmd, change)
}

func (a *Admin) dropContract(c *fiber.Ctx) error {
	baseVersion, err := strconv.ParseUint(c.Query("expect"), 10, 64)
	if err != nil {
		return c.Status(http.StatusBadRequest).JSON(ChangeResult{Code: ctrl.Invalid, Reason: "expect: is missing or not a version"})
	}
	change := Change{ChangeID: c.Query("change", uuid.NewString()), Author: c.Query("author"), Wait: c.QueryBool("wait")}
	cmd := ctrl.Command{Drop: &ctrl.DropContract{
		ChangeID: change.ChangeID, BaseVersion: baseVersion, Author: change.Author, Customer: c.Params("customer"),
	}}
	return a.commitChange(c, cmd, change)
}

// commitChange commits a change and responds with its result. With change.Wait, it waits until the change is in force on all
// instances.
func (a *Admin) commitChange(c *fiber.Ctx, cmd ctrl.Command, change Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	result, err := a.opt.Quorum.Propose(ctx, cmd)
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(ChangeResult{
			Code: "unknown", Reason: "the change may or may not have been accepted; send it again with the same change ID",
			ChangeID: change.ChangeID,
		})
	}
	response := ChangeResult{
		Code: result.Code, Reason: result.Reason, Version: result.Version, Author: result.Author, ChangeID: change.ChangeID,
	}
	a.opt.Log.Info("contract changed", zap.String("author", change.Author), zap.String("change", change.ChangeID),
		zap.String("code", string(result.Code)), zap.Uint64("version", result.Version), zap.String("reason", result.Reason))
	switch result.Code {
	case ctrl.OK:
	case ctrl.Conflict:
		return c.Status(http.StatusConflict).JSON(response)
	case ctrl.NotFound:
		return c.Status(http.StatusNotFound).JSON(response)
	default:
		return c.Status(http.StatusUnprocessableEntity).JSON(response)
	}
	if change.Wait {
		start := time.Now()
		if response.InstanceCount, err = a.waitInForce(ctx, result.Version, start); err != nil {
			response.Reason = "accepted, but not yet seen in force everywhere"
		}
		response.Waited = time.Since(start)
	}
	return c.JSON(response)
}

// waitInForce waits until each instance has applied a version, or can no longer admit requests under an earlier one because its
// proof of current configuration is too old. The version was accepted before the given time. It returns the number of instances
// that the wait covered.
func (a *Admin) waitInForce(ctx context.Context, version uint64, accepted time.Time) (int, error) {
	instanceCount := 1
	for {
		queryResult, err := a.opt.Quorum.Read(ctx, quorum.Query{LeastVersion: true})
		instanceCount = max(instanceCount, queryResult.InstanceCount)
		if err == nil && queryResult.LeastVersion >= version || memb.ProofsExpired(time.Now(), accepted, a.opt.MaxProofAge) {
			return instanceCount, nil
		}
		if !pace.Sleep(ctx, inForcePollInterval) {
			return 0, errors.Join(ctx.Err(), err)
		}
	}
}

func (a *Admin) listInstances(c *fiber.Ctx) error {
	view := a.opt.View()
	return c.JSON(fiber.Map{"version": view.Version, "age": a.opt.ProofAge(clock.Now()).String(), "instances": view.Instances})
}

func (a *Admin) listCells(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return c.JSON(a.opt.Broker.States(ctx, cell.Names(a.opt.View())))
}

func (a *Admin) readState(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	queryResult, err := a.opt.Quorum.Read(ctx, quorum.Query{})
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(errorResponse{err.Error()})
	}
	return c.JSON(queryResult)
}

func (a *Admin) submitOrder(c *fiber.Ctx) error {
	var order ctrl.Order
	if err := json.Unmarshal(c.Body(), &order); err != nil {
		return c.Status(http.StatusBadRequest).JSON(errorResponse{err.Error()})
	}
	cmd := ctrl.Command{Order: &order}
	if order.ID == "" {
		order.ID = uuid.NewString()
	}
	if err := cmd.Check(); err != nil || order.DoneFence != 0 || order.Endpoint == "" {
		return c.Status(http.StatusUnprocessableEntity).JSON(errorResponse{"order: endpoint, kind and value are needed"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	result, err := a.opt.Quorum.Propose(ctx, cmd)
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(errorResponse{err.Error()})
	}
	return c.JSON(result)
}
