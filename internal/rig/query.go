package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/sched"
)

// CallOperatorAPI sends a request with a JSON body to the instance's operator API. It decodes the answer into out, unless out is nil, and
// returns the HTTP status.
func (inst *Instance) CallOperatorAPI(method, path string, body, out any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", inst.Operators, path), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := (&http.Client{Timeout: WaitTimeout}).Do(req)
	if err != nil {
		return 0, fault.Wrap("call operator API", inst.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode, err
}

// PutContract submits a change of a contract through the instance and returns its result.
func (inst *Instance) PutContract(change admin.Change) (admin.ChangeResult, error) {
	var out admin.ChangeResult
	_, err := inst.CallOperatorAPI(http.MethodPut, "/v1/contracts/"+change.Contract.Customer, change, &out)
	return out, err
}

// AddContract adds a new contract, waits until it is in force everywhere, and returns its version.
func (r *Rig) AddContract(contract contr.Contract) (uint64, error) {
	out, err := r.Instances[0].PutContract(admin.Change{Contract: contract, Wait: true, Author: "rig"})
	if err == nil && out.Code != ctrl.OK {
		err = fault.Errorf("add contract", r.Instances[0].Name, "%s: %s", out.Code, out.Reason)
	}
	return out.Version, err
}

// Cells returns the state of the schedulers by cell, as the instance reports it; it is empty after an error.
func (inst *Instance) Cells() map[string]sched.State {
	out := map[string]sched.State{}
	_, _ = inst.CallOperatorAPI(http.MethodGet, "/v1/cells", nil, &out)
	return out
}

// State returns the control state as the instance reports it.
func (inst *Instance) State() (quorum.QueryResult, error) {
	var result quorum.QueryResult
	status, err := inst.CallOperatorAPI(http.MethodGet, "/v1/state", nil, &result)
	if err == nil && status != http.StatusOK {
		err = fault.Errorf("read state", inst.Name, "status %d", status)
	}
	return result, err
}

// LiveEndpoints returns the number of live endpoints of a model or service. If several cells schedule it, the lowest number of them counts.
func (inst *Instance) LiveEndpoints(service string) int {
	minLive := -1
	for name, state := range inst.Cells() {
		if !strings.HasPrefix(name, service+"@"+Region) {
			continue
		}
		live := 0
		for _, endpoint := range state.Endpoints {
			if endpoint.Live {
				live++
			}
		}
		if minLive < 0 || live < minLive {
			minLive = live
		}
	}
	return max(minLive, 0)
}

// Leader returns the instance that leads the replicated log, or nil if no running instance reports one of the rig's as leader.
func (r *Rig) Leader() *Instance {
	for _, inst := range r.Instances {
		if inst.Proc == nil || inst.Exited() {
			continue
		}
		result, err := inst.State()
		if err != nil {
			continue
		}
		member, _ := result.Status.Conf.Find(result.Status.Leader)
		for _, candidate := range r.Instances {
			if candidate.Name == member.Name {
				return candidate
			}
		}
	}
	return nil
}
