package ctrl

import (
	"errors"
	"net/netip"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/order"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// Result codes.
const (
	OK       Code = "ok"
	Conflict Code = "conflict"
	Invalid  Code = "invalid"
	Missing  Code = "missing"
	Held     Code = "held"
	Ceiling  Code = "ceiling"
)

type (
	// Code is the outcome of a command.
	Code string

	// Command is one entry of the log. At is the time of the proposal in Unix milliseconds; exactly one other field is set.
	Command struct {
		At         int64       `json:"at"`
		Put        *Put        `json:"put,omitempty"`
		Drop       *Drop       `json:"drop,omitempty"`
		Register   *Instance   `json:"register,omitempty"`
		Deregister *Deregister `json:"deregister,omitempty"`
		Lease      *Acquire    `json:"lease,omitempty"`
		Renew      *Renew      `json:"renew,omitempty"`
		Claim      *claim.Cmd  `json:"claim,omitempty"`
		Slice      *Slice      `json:"slice,omitempty"`
		Poison     *Poison     `json:"poison,omitempty"`
		Order      *Order      `json:"order,omitempty"`
		Replace    *Replace    `json:"replace,omitempty"`
		// Announce and Exit concern endpoints of the services in the routing table.
		Announce *roster.Endpoint `json:"announce,omitempty"`
		Exit     *roster.Exit     `json:"exit,omitempty"`
	}

	// Replace replaces the whole routing table if its version is higher than the current one. Source is the document as the
	// operator submitted it.
	Replace struct {
		Table  table.Table `json:"table"`
		Source []byte      `json:"source"`
	}

	// Put creates or updates one contract. Expect is the version that the change is based on, 0 for a new contract.
	Put struct {
		Change   string         `json:"change"`
		Expect   uint64         `json:"expect"`
		Author   string         `json:"author"`
		Contract contr.Contract `json:"contract"`
	}

	// Drop deletes one contract. Expect is the version that the change is based on.
	Drop struct {
		Change   string `json:"change"`
		Expect   uint64 `json:"expect"`
		Author   string `json:"author"`
		Customer string `json:"customer"`
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

	// Acquire acquires a cell's lease if the lease's epoch still equals Seen. Kind is the kind of endpoints in a new cell.
	Acquire struct {
		Cell   string     `json:"cell"`
		Seen   uint64     `json:"seen"`
		Holder Instance   `json:"holder"`
		Kind   endpt.Kind `json:"kind,omitempty"`
	}

	// Renew renews the leases of the listed cells for the holder with the given boot ID. With Release, the holder first releases
	// all of its leases.
	Renew struct {
		Boot    string   `json:"boot"`
		Cells   []string `json:"cells,omitempty"`
		Release bool     `json:"release,omitempty"`
	}

	// Slice allocates part of a customer's spending ceiling to a holder (Take) and returns an unspent part (Return), both in
	// micro-euros.
	Slice struct {
		ID       string `json:"id"`
		Customer string `json:"customer"`
		Period   string `json:"period"`
		Holder   string `json:"holder"`
		Take     int64  `json:"take,omitempty"`
		Return   int64  `json:"return,omitempty"`
	}

	// Poison reports that an endpoint crashed while it ran a request, or, with Clear, that the request ran to completion. Print is
	// the fingerprint of the request and Boot the boot ID of the endpoint. Most is the number of endpoint crashes after which the
	// request is quarantined; 0 stands for crashesToQuarantine.
	Poison struct {
		Print string `json:"print"`
		Most  int    `json:"most,omitempty"`
		Boot  string `json:"boot,omitempty"`
		Clear bool   `json:"clear,omitempty"`
	}

	// Order records an order for an engine. With Done, it records instead that the engine's orders were carried out, provided that
	// Done is still the fencing token of the last one.
	Order struct {
		ID       string     `json:"id"`
		Endpoint string     `json:"endpoint"`
		Kind     order.Kind `json:"kind,omitempty"`
		Value    string     `json:"value,omitempty"`
		Done     uint64     `json:"done,omitempty"`
	}

	// Result is the result of a command. Version is the configuration version of the item and Author the author of that version,
	// Amount the granted part of a ceiling in micro-euros and Fence the fencing token of an order. Lost lists the cells of a renewal
	// whose lease the caller doesn't hold.
	Result struct {
		Code    Code          `json:"code"`
		Reason  string        `json:"reason,omitempty"`
		Version uint64        `json:"version,omitempty"`
		Author  string        `json:"author,omitempty"`
		Epoch   uint64        `json:"epoch,omitempty"`
		Holder  Instance      `json:"holder"`
		Amount  int64         `json:"amount,omitempty"`
		Fence   uint64        `json:"fence,omitempty"`
		Claim   *claim.Record `json:"claim,omitempty"`
		Lost    []string      `json:"lost,omitempty"`
	}
)

// Check returns an error if the command is empty or its content is invalid.
func (c *Command) Check() error {
	switch {
	case c.Put != nil:
		if c.Put.Change == "" {
			return errors.New("command: change ID is missing")
		}
		return c.Put.Contract.Check()
	case c.Drop != nil:
		if c.Drop.Change == "" {
			return errors.New("command: change ID is missing")
		}
	case c.Claim != nil:
		return c.Claim.Check()
	case c.Slice != nil:
		if c.Slice.Take < 0 || c.Slice.Return < 0 {
			return errors.New("command: negative slice")
		}
	case c.Order != nil && c.Order.Done == 0:
		return (&order.Order{Kind: c.Order.Kind, Value: c.Order.Value}).Check()
	case c.Replace != nil:
		return c.Replace.Table.Check()
	case c.Announce != nil:
		return c.Announce.Check()
	case c.Exit != nil:
		if c.Exit.ID == "" {
			return errors.New("command: endpoint ID is missing")
		}
	case c.Register == nil && c.Deregister == nil && c.Lease == nil && c.Renew == nil && c.Poison == nil && c.Order == nil:
		return errors.New("command: holds no part")
	}
	return nil
}
