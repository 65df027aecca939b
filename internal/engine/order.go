package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/greengagewheel/greengagewheel/internal/order"
)

// orders is what an engine did with the orders it got.
type orders struct {
	state order.State
}

// order carries out an order; an engine that checks fences refuses an old number.
func (e *Engine) order(w http.ResponseWriter, q *http.Request) {
	var o order.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBody)).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.Fences && o.Fence < e.orders.state.Fence {
		refuse(w, http.StatusConflict, fmt.Errorf("fence %d is older than %d", o.Fence, e.orders.state.Fence))
		return
	}
	e.orders.state.Apply(o)
	e.batch.stats.Loads++
	reply(w, http.StatusOK, e.orders.state)
}

func (e *Engine) orderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.orders.state)
}

type kvBlocks struct {
	Blocks []uint64 `json:"blocks"`
}

func (e *Engine) exportKV(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var kv kvBlocks
	for el := e.batch.cache.order.Front(); el != nil; el = el.Next() {
		kv.Blocks = append(kv.Blocks, el.Value.(uint64))
	}
	reply(w, http.StatusOK, kv)
}

func (e *Engine) importKV(w http.ResponseWriter, q *http.Request) {
	var kv kvBlocks
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBody)).Decode(&kv); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range kv.Blocks {
		e.batch.cache.hold(b)
	}
	w.WriteHeader(http.StatusNoContent)
}
