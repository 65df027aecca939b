package ctrl

import (
	"errors"
	"net/netip"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/order"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// Result codes.
const (
	// OK means that the command took effect, or that there was nothing to change.
	OK Code = "ok"
	// Conflict means that the contract has changed since the command's BaseVersion, or that the billing period is over.
	Conflict Code = "conflict"
	// Invalid means that the command or its content is invalid.
	Invalid Code = "invalid"
	// NotFound means that the contract, the instance or the cell does not exist.
	NotFound Code = "missing"
	// Held means that the lease was not given to the requester, or that the claim does not allow the change.
	Held Code = "held"
	// CeilingReached means that nothing is left of the spending ceiling.
	CeilingReached Code = "ceiling"
)

type (
	// Code is the outcome of a command.
	Code string

	// Command is one entry of the log. Exactly one field besides ProposedAtMS, in Unix milliseconds, is set.
	Command struct {
		ProposedAtMS  int64          `json:"at"`
		Put           *PutContract   `json:"put,omitempty"`
		Drop          *DropContract  `json:"drop,omitempty"`
		Register      *Instance      `json:"register,omitempty"`
		Deregister    *Deregister    `json:"deregister,omitempty"`
		AcquireLease  *AcquireLease  `json:"lease,omitempty"`
		RenewLeases   *RenewLeases   `json:"renew,omitempty"`
		Claim         *claim.Command `json:"claim,omitempty"`
		SpendingSlice *SpendingSlice `json:"slice,omitempty"`
		CrashReport   *CrashReport   `json:"poison,omitempty"`
		PartReports   []blame.Report `json:"parts,omitempty"`
		PartTrial     *PartTrial     `json:"trial,omitempty"`
		LiftPart      *LiftPart      `json:"lift,omitempty"`
		Order         *Order         `json:"order,omitempty"`
		ReplaceTable  *ReplaceTable  `json:"replace,omitempty"`
		// Announce and RemoveEndpoint concern endpoints of the services in the routing table.
		Announce       *roster.Endpoint `json:"announce,omitempty"`
		RemoveEndpoint *roster.Removal  `json:"exit,omitempty"`
		TakeDuty       *TakeDuty        `json:"duty,omitempty"`
		FixUsage       *FixUsage        `json:"fixUsage,omitempty"`
		ScaleOrder     *ScaleOrder      `json:"scale,omitempty"`
	}

	// ReplaceTable replaces the whole routing table if its version is higher than the current one. Source is the document as the
	// operator submitted it.
	ReplaceTable struct {
		Table  table.Table `json:"table"`
		Source []byte      `json:"source"`
	}

	// PutContract creates or updates one contract. BaseVersion is the version that the change is based on, 0 for a new contract.
	PutContract struct {
		ChangeID    string         `json:"change"`
		BaseVersion uint64         `json:"expect"`
		Author      string         `json:"author"`
		Contract    contr.Contract `json:"contract"`
	}

	// DropContract deletes one contract. BaseVersion is the version that the change is based on.
	DropContract struct {
		ChangeID    string `json:"change"`
		BaseVersion uint64 `json:"expect"`
		Author      string `json:"author"`
		Customer    string `json:"customer"`
	}

	// Instance identifies a running instance. Boot is an ID that is generated at each start.
	Instance struct {
		Name   string         `json:"name"`
		Zone   string         `json:"zone"`
		Region string         `json:"region"`
		Boot   string         `json:"boot"`
		Addr   netip.AddrPort `json:"addr"`
	}

	// Deregister removes an instance that has stopped or failed, provided that Boot is still its registered boot ID.
	Deregister struct {
		Name string `json:"name"`
		Boot string `json:"boot"`
	}

	// AcquireLease acquires a cell's lease if the lease's epoch still equals SeenEpoch. Kind is the kind of endpoints in a new cell.
	AcquireLease struct {
		Cell      string     `json:"cell"`
		SeenEpoch uint64     `json:"seen"`
		Holder    Instance   `json:"holder"`
		Kind      endpt.Kind `json:"kind,omitempty"`
	}

	// RenewLeases renews the leases of the listed cells for the holder with the given boot ID. With Release, the holder first releases
	// all of its leases.
	RenewLeases struct {
		Boot    string   `json:"boot"`
		Cells   []string `json:"cells,omitempty"`
		Release bool     `json:"release,omitempty"`
	}

	// SpendingSlice allocates part of a customer's spending ceiling to a holder (Take) and returns an unspent part (Return), both in
	// micro-euros.
	SpendingSlice struct {
		ID       string `json:"id"`
		Customer string `json:"customer"`
		Period   string `json:"period"`
		Holder   string `json:"holder"`
		Take     int64  `json:"take,omitempty"`
		Return   int64  `json:"return,omitempty"`
	}

	// CrashReport reports that an endpoint crashed while it ran a request, or, with Clear, that the request ran to completion.
	CrashReport struct {
		// Fingerprint identifies the content of the request.
		Fingerprint string `json:"print"`
		// QuarantineAfter is the number of endpoint crashes at which the request is quarantined; 0 stands for crashesToQuarantine.
		QuarantineAfter int `json:"most,omitempty"`
		// Boot is the boot ID of the endpoint.
		Boot  string `json:"boot,omitempty"`
		Clear bool   `json:"clear,omitempty"`
	}

	// PartTrial asks to let one request through to a service although a part of its prompt is held. Number counts the trials of the
	// part from 0, RequestID identifies the request.
	PartTrial struct {
		Part      uint64 `json:"part"`
		Number    int    `json:"number"`
		RequestID string `json:"id"`
	}

	// LiftPart deletes what is known against a prompt part.
	LiftPart struct {
		Part uint64 `json:"part"`
	}

	// Order records an order for an engine. With DoneFence, it records instead that the engine's orders were carried out, provided
	// that DoneFence is still the fencing token of the last one.
	Order struct {
		ID        string     `json:"id"`
		Endpoint  string     `json:"endpoint"`
		Kind      order.Kind `json:"kind,omitempty"`
		Value     string     `json:"value,omitempty"`
		DoneFence uint64     `json:"done,omitempty"`
	}

	// Result is the result of a command.
	Result struct {
		Code   Code   `json:"code"`
		Reason string `json:"reason,omitempty"`
		// Version is the configuration version of the item, or the operator's version of a routing table. Author is the author of
		// that version of a contract.
		Version uint64 `json:"version,omitempty"`
		Author  string `json:"author,omitempty"`
		// Epoch and Holder describe the lease of a cell. For TakeDuty, Holder is the holder before, with name and boot ID only.
		Epoch  uint64   `json:"epoch,omitempty"`
		Holder Instance `json:"holder"`
		// Amount is the granted part of a spending ceiling in micro-euros.
		Amount int64 `json:"amount,omitempty"`
		// Fence is the fencing token of an order or of a duty.
		Fence uint64 `json:"fence,omitempty"`
		// Claim is the claim after the command, unchanged if the command was not allowed.
		Claim *claim.Record `json:"claim,omitempty"`
		// LostCells lists the cells of a renewal whose lease the caller doesn't hold.
		LostCells []string `json:"lost,omitempty"`
	}
)

// Check returns an error if the command is empty or its content is invalid.
func (c *Command) Check() error {
	switch {
	case c.Put != nil:
		if c.Put.ChangeID == "" {
			return errors.New("command: change ID is missing")
		}
		return c.Put.Contract.Check()
	case c.Drop != nil:
		if c.Drop.ChangeID == "" {
			return errors.New("command: change ID is missing")
		}
	case c.Claim != nil:
		return c.Claim.Check()
	case c.SpendingSlice != nil:
		if c.SpendingSlice.Take < 0 || c.SpendingSlice.Return < 0 {
			return errors.New("command: negative slice")
		}
	case c.Order != nil && c.Order.DoneFence == 0:
		return (&order.Order{Kind: c.Order.Kind, Value: c.Order.Value}).Check()
	case c.ReplaceTable != nil:
		return c.ReplaceTable.Table.Check()
	case c.Announce != nil:
		return c.Announce.Check()
	case c.RemoveEndpoint != nil:
		if c.RemoveEndpoint.ID == "" {
			return errors.New("command: endpoint ID is missing")
		}
	case c.TakeDuty != nil:
		return c.TakeDuty.check()
	case c.ScaleOrder != nil:
		return c.ScaleOrder.check()
	case len(c.PartReports) > 0:
		return c.checkPartReports()
	case c.FixUsage != nil:
		return c.FixUsage.check()
	case c.Register == nil && c.Deregister == nil && c.AcquireLease == nil && c.RenewLeases == nil && c.CrashReport == nil &&
		c.PartTrial == nil && c.LiftPart == nil && c.Order == nil:
		return errors.New("command: holds no part")
	}
	return nil
}

func (c *Command) checkPartReports() error {
	for i := range c.PartReports {
		if err := c.PartReports[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
