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

// Operate sends an operator's request and decodes the answer into out, unless that is nil.
func (in *Instance) Operate(method, path string, body, out any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", in.Operators, path), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := (&http.Client{Timeout: Patience}).Do(q)
	if err != nil {
		return 0, fault.At("operate", in.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode, err
}

// Put makes a change of a contract through the instance.
func (in *Instance) Put(ch admin.Change) (admin.ChangeResult, error) {
	var out admin.ChangeResult
	_, err := in.Operate(http.MethodPut, "/v1/contracts/"+ch.Contract.Customer, ch, &out)
	return out, err
}

// Enter puts a new contract in and waits until it is in force everywhere.
func (r *Rig) Enter(k contr.Contract) (uint64, error) {
	out, err := r.Instances[0].Put(admin.Change{Contract: k, Wait: true, Author: "rig"})
	if err == nil && out.Code != ctrl.OK {
		err = fault.New("enter contract", r.Instances[0].Name, "%s: %s", out.Code, out.Reason)
	}
	return out.Version, err
}

// Cells returns the schedulers' state as the instance shows it.
func (in *Instance) Cells() map[string]sched.State {
	out := map[string]sched.State{}
	_, _ = in.Operate(http.MethodGet, "/v1/cells", nil, &out)
	return out
}

// State returns the control state as the instance shows it.
func (in *Instance) State() (quorum.QueryResult, error) {
	var v quorum.QueryResult
	status, err := in.Operate(http.MethodGet, "/v1/state", nil, &v)
	if err == nil && status != http.StatusOK {
		err = fault.New("read state", in.Name, "status %d", status)
	}
	return v, err
}

// Live returns the number of live endpoints of a model or service, the least of its cells' numbers.
func (in *Instance) Live(what string) int {
	least := -1
	for name, st := range in.Cells() {
		if !strings.HasPrefix(name, what+"@"+Region) {
			continue
		}
		n := 0
		for _, e := range st.Endpoints {
			if e.Live {
				n++
			}
		}
		if least < 0 || n < least {
			least = n
		}
	}
	return max(least, 0)
}

// Leader returns the instance that leads the log, or nil.
func (r *Rig) Leader() *Instance {
	for _, in := range r.Instances {
		if in.Proc == nil || in.Ended() {
			continue
		}
		v, err := in.State()
		if err != nil {
			continue
		}
		m, _ := v.Status.Conf.Find(v.Status.Leader)
		for _, o := range r.Instances {
			if o.Name == m.Name {
				return o
			}
		}
	}
	return nil
}
