package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/greengagewheel/greengagewheel/internal/order"
)

// appliedOrders is the state that results from the orders applied to an engine.
type appliedOrders struct {
	state order.State
}

// handleOrder applies an order. An engine that checks fencing tokens refuses a token older than that of the last order.
func (e *Engine) handleOrder(w http.ResponseWriter, req *http.Request) {
	var o order.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.EnforcesFence && o.Fence < e.orders.state.Fence {
		writeError(w, http.StatusConflict, fmt.Errorf("fence %d is older than %d", o.Fence, e.orders.state.Fence))
		return
	}
	e.orders.state.Apply(o)
	e.batch.stats.AppliedOrders++
	writeJSON(w, http.StatusOK, e.orders.state)
}

func (e *Engine) handleOrderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.orders.state)
}

// kvBlocks lists the hashes of cached prefix blocks, the most recently used first.
type kvBlocks struct {
	Blocks []uint64 `json:"blocks"`
}

func (e *Engine) handleExportKV(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var kv kvBlocks
	for element := e.batch.cache.lru.Front(); element != nil; element = element.Next() {
		kv.Blocks = append(kv.Blocks, element.Value.(uint64))
	}
	writeJSON(w, http.StatusOK, kv)
}

func (e *Engine) handleImportKV(w http.ResponseWriter, req *http.Request) {
	var kv kvBlocks
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes)).Decode(&kv); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, block := range kv.Blocks {
		e.batch.cache.insert(block)
	}
	w.WriteHeader(http.StatusNoContent)
}
