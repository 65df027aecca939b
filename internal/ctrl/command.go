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

// Codes of a Result.
const (
	OK       Code = "ok"
	Conflict Code = "conflict"
	Invalid  Code = "invalid"
	Missing  Code = "missing"
	Held     Code = "held"
	Ceiling  Code = "ceiling"
)

type (
	// Code tells how a command ended.
	Code string

	// Command is one entry of the log; just one of its parts is set.
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
		// Announce and Exit are of endpoints behind routes.
		Announce *roster.Endpoint `json:"announce,omitempty"`
		Exit     *roster.Removal  `json:"exit,omitempty"`
	}

	// Replace puts a whole routing table in force if its version is higher than the present one. Source is the document as
	// its operator sent it.
	Replace struct {
		Table  table.Table `json:"table"`
		Source []byte      `json:"source"`
	}

	// Put changes one contract, made from the version that Expect names (0 for a new contract).
	Put struct {
		Change   string         `json:"change"`
		Expect   uint64         `json:"expect"`
		Author   string         `json:"author"`
		Contract contr.Contract `json:"contract"`
	}

	// Drop removes one contract.
	Drop struct {
		Change   string `json:"change"`
		Expect   uint64 `json:"expect"`
		Author   string `json:"author"`
		Customer string `json:"customer"`
	}

	// Instance is one running instance; Boot is new at each start.
	Instance struct {
		Name   string         `json:"name"`
		Zone   string         `json:"zone"`
		Region string         `json:"region"`
		Boot   string         `json:"boot"`
		Addr   netip.AddrPort `json:"addr"`
	}

	// Deregister removes an instance that is gone, if it still has the boot.
	Deregister struct {
		Name string `json:"name"`
		Boot string `json:"boot"`
	}

	// Acquire takes a cell's lease if its epoch is still Seen; Kind is the kind of a new cell's endpoints.
	Acquire struct {
		Cell   string     `json:"cell"`
		Seen   uint64     `json:"seen"`
		Holder Instance   `json:"holder"`
		Kind   endpt.Kind `json:"kind,omitempty"`
	}

	// Renew renews the named leases of a boot, or gives all of its leases up.
	Renew struct {
		Boot    string   `json:"boot"`
		Cells   []string `json:"cells,omitempty"`
		Release bool     `json:"release,omitempty"`
	}

	// Slice takes a part of a customer's ceiling for a holder, or returns what was not spent, in micro-euros.
	Slice struct {
		ID       string `json:"id"`
		Customer string `json:"customer"`
		Period   string `json:"period"`
		Holder   string `json:"holder"`
		Take     int64  `json:"take,omitempty"`
		Return   int64  `json:"return,omitempty"`
	}

	// Poison reports that an endpoint crashed while it ran a request, or that the request ran to its end. Most is the number of
	// endpoints that it may crash; 0 stands for crashesToQuarantine.
	Poison struct {
		Print string `json:"print"`
		Most  int    `json:"most,omitempty"`
		Boot  string `json:"boot,omitempty"`
		Clear bool   `json:"clear,omitempty"`
	}

	// Order gives an engine an order, or records that it was carried out.
	Order struct {
		ID       string     `json:"id"`
		Endpoint string     `json:"endpoint"`
		Kind     order.Kind `json:"kind,omitempty"`
		Value    string     `json:"value,omitempty"`
		Done     uint64     `json:"done,omitempty"`
	}

	// Result is what a command came to; Lost names the leases of a renewal that the boot does not hold.
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

// Check returns an error for a command that holds no part or a broken one.
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
