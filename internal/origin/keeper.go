package origin

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

const (
	// sendDelay is the time between two messages with new records, which wait for it. An entry instance that is lost meanwhile loses them.
	sendDelay = 20 * time.Millisecond
	// holderInterval is the interval at which it is checked whether the holders have changed.
	holderInterval = 500 * time.Millisecond
	// pingInterval is the longest time between two messages to the holders, which tell whether they have started again.
	pingInterval = time.Second
	// observeInterval is the interval at which the software versions of the endpoints are recorded.
	observeInterval = 500 * time.Millisecond
	// callTimeout bounds the time for which a caller waits for the instances asked, in each of two steps.
	callTimeout = 150 * time.Millisecond
	// sendTimeout bounds a call that sends records.
	sendTimeout = time.Second
	// maxBatch is the largest number of records in a message.
	maxBatch = 4096
	// maxAsked is the largest number of entry instances that are asked for one record.
	maxAsked = 64
	// holders is the number of replicas that each record is sent to, the leader first.
	holders = 2
	// unableTime is how long a replica whose build keeps no records gets none. It may be replaced by one of a later build.
	unableTime = 2 * time.Second
)

// ErrNotKept means that an instance keeps no records, as its build knows none.
var ErrNotKept = errors.New("the instance keeps no origins of streams")

type (
	// Message sends records to another instance, or asks it for one, or for the only software version of Service within Horizon.
	Message struct {
		Records []Record      `json:"records,omitempty"`
		Find    *Key          `json:"find,omitempty"`
		Service string        `json:"service,omitempty"`
		Horizon time.Duration `json:"horizon,omitempty"`
	}

	// Reply answers a message that asks for a record, or for a software version, which is then that of the origin.
	Reply struct {
		Origin Origin `json:"origin"`
		Found  bool   `json:"found,omitempty"`
		// Epoch is another number after each start of the instance, or 0 if its build tells none.
		Epoch uint64 `json:"epoch,omitempty"`
	}

	// Sender sends messages to other instances. Its error is ErrNotKept if the other instance does not know such messages.
	Sender interface {
		SendOrigins(ctx context.Context, to netip.AddrPort, msg Message) (Reply, error)
	}

	// Options configures a Keeper. Replicas returns the replicas of the log, the leader first; Entries the other entry instances, the
	// nearest first; Endpoints the present endpoints, and whether they are proven current.
	Options struct {
		Sender    Sender
		Replicas  func() []netip.AddrPort
		Entries   func() []netip.AddrPort
		Endpoints func(now time.Time) (endpoints map[string]roster.Endpoint, current bool)
		Now       func() time.Time
		Log       *zap.Logger
	}

	// Keeper holds the records of one instance, sends its own to replicas, and finds those of others.
	Keeper struct {
		opt     Options
		mu      sync.Mutex
		store   *Store
		history *History
		// own holds the records of streams that this instance served.
		own    *Store
		unsent []Record
		// wake is written to when there are unsent records.
		wake chan struct{}
		// sentTo lists the replicas that hold the records of this instance, epochs holds the epochs in which they took them.
		sentTo []netip.AddrPort
		epochs map[netip.AddrPort]uint64
		// epoch is that of this instance.
		epoch uint64
		// unableUntil holds the replicas that keep no records, with the time until which they get none.
		unableUntil map[netip.AddrPort]time.Time
	}
)

// New returns a keeper without records.
func New(opt Options) *Keeper {
	return &Keeper{
		opt: opt, store: NewStore(), history: NewHistory(), own: NewStore(), wake: make(chan struct{}, 1),
		unableUntil: map[netip.AddrPort]time.Time{}, epochs: map[netip.AddrPort]uint64{}, epoch: 1 + rand.Uint64N(math.MaxUint64),
	}
}

// Check returns an error if a record is invalid or there are too many.
func (m *Message) Check() error {
	if len(m.Records) > maxBatch {
		return fmt.Errorf("origin: %d records, at most %d are taken", len(m.Records), maxBatch)
	}
	for i := range m.Records {
		if err := m.Records[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Record records the origin of a request's stream. One of an unknown software version is not recorded.
func (k *Keeper) Record(rec Record) {
	if rec.Check() != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own.Add(k.opt.Now(), rec)
	if len(k.unsent) < maxBatch {
		k.unsent = append(k.unsent, rec)
	}
	k.wakeUp()
}

// wakeUp makes Run send what is unsent.
func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Find returns the origin of a request's stream. It asks other instances if this one does not know it.
func (k *Keeper) Find(ctx context.Context, key Key) (o Origin, found bool) {
	if reply := k.find(key); reply.Found {
		return reply.Origin, true
	}
	reply := k.ask(ctx, Message{Find: &key}, k.opt.Replicas())
	if !reply.Found {
		entries := k.opt.Entries()
		reply = k.ask(ctx, Message{Find: &key}, entries[:min(len(entries), maxAsked)])
	}
	return reply.Origin, reply.Found
}

// OnlyBuild returns the software version of a service if its endpoints had no other for a time up to now. It asks replicas if this
// instance has not seen the endpoints for as long, and returns false if they had several versions or nobody knows.
func (k *Keeper) OnlyBuild(ctx context.Context, service string, horizon time.Duration) (build string, known bool) {
	if build, known = k.onlyBuild(service, horizon); known {
		return build, true
	}
	reply := k.ask(ctx, Message{Service: service, Horizon: horizon}, k.opt.Replicas())
	if !reply.Found {
		return "", false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if seen, only := k.history.onlySeen(k.opt.Now(), service, horizon); !only || seen != reply.Origin.Build {
		return "", false
	}
	return reply.Origin.Build, true
}

// onlyBuild is OnlyBuild by what this instance has seen.
func (k *Keeper) onlyBuild(service string, horizon time.Duration) (build string, known bool) {
	now := k.opt.Now()
	k.observe(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.history.OnlyBuild(now, service, horizon)
}

// observe records the software versions of the present endpoints.
func (k *Keeper) observe(now time.Time) {
	endpoints, current := k.opt.Endpoints(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history.Observe(now, endpoints, current)
}

// Watch records which software versions the endpoints have, until the context is done.
func (k *Keeper) Watch(ctx context.Context) {
	pace.Every(ctx, observeInterval, func() { k.observe(k.opt.Now()) })
}

// find returns the record of a key that this instance has.
func (k *Keeper) find(key Key) (reply Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opt.Now()
	if reply.Origin, reply.Found = k.own.Find(now, key); !reply.Found {
		reply.Origin, reply.Found = k.store.Find(now, key)
	}
	return reply
}

// ask asks several instances at once and returns the first reply with a record.
func (k *Keeper) ask(ctx context.Context, msg Message, instances []netip.AddrPort) Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan Reply, len(instances))
	for _, addr := range instances {
		go func() {
			reply, err := k.opt.Sender.SendOrigins(ctx, addr, msg)
			if err != nil {
				k.opt.Log.Debug("instance not asked for the origin of a stream", zap.Stringer("peer", addr), zap.Error(err))
			}
			replies <- reply
		}()
	}
	for range instances {
		select {
		case reply := <-replies:
			if reply.Found {
				return reply
			}
		case <-ctx.Done():
			return Reply{}
		}
	}
	return Reply{}
}

// Serve handles a message of another instance.
func (k *Keeper) Serve(msg Message) Reply {
	reply := k.serve(msg)
	reply.Epoch = k.epoch
	return reply
}

func (k *Keeper) serve(msg Message) Reply {
	k.mu.Lock()
	now := k.opt.Now()
	for _, rec := range msg.Records {
		k.store.Add(now, rec)
	}
	k.mu.Unlock()
	switch {
	case msg.Find != nil:
		return k.find(*msg.Find)
	case msg.Service != "":
		build, known := k.onlyBuild(msg.Service, msg.Horizon)
		return Reply{Origin: Origin{Build: build}, Found: known}
	}
	return Reply{}
}

// Len returns the number of records held.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.own.Len() + k.store.Len()
}

// Run sends new records to the leader and another replica until the context is done, and all records to those that become holders, or
// start again: these are found by an empty message where there is nothing else to send.
func (k *Keeper) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	check := time.NewTicker(holderInterval)
	defer check.Stop()
	var sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
			pace.Sleep(ctx, sendDelay-k.opt.Now().Sub(sentAt))
		case <-check.C:
		}
		now := k.opt.Now()
		to, fresh, unsent, all := k.takeUnsent()
		checkHolders := now.Sub(sentAt) >= pingInterval && k.hasRecords(now)
		for _, addr := range to {
			records := unsent
			if slices.Contains(fresh, addr) {
				records = all
			}
			if len(records) > 0 || checkHolders {
				sentAt = now
				wg.Go(func() { k.send(ctx, addr, records) })
			}
		}
	}
}

// hasRecords reports whether this instance has served streams that may still be taken up.
func (k *Keeper) hasRecords(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.own.All(now, 1)) > 0
}

// takeUnsent returns the replicas that hold the records of this instance, those of them that are new, the records that were not
// sent yet, and, if there are new holders, all records.
func (k *Keeper) takeUnsent() (to, fresh []netip.AddrPort, unsent, all []Record) {
	replicas, now := k.opt.Replicas(), k.opt.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, addr := range replicas {
		if len(to) < holders && !now.Before(k.unableUntil[addr]) {
			to = append(to, addr)
		}
	}
	unsent, k.unsent = k.unsent, nil
	for _, addr := range to {
		if !slices.Contains(k.sentTo, addr) {
			fresh = append(fresh, addr)
		}
	}
	k.sentTo = slices.Clone(to)
	if len(fresh) > 0 {
		all = k.own.All(now, maxBatch)
	}
	return to, fresh, unsent, all
}

// send sends records to a replica. After a failure, the replica gets all records with the next ones; if it has started again, it gets them
// at once, and if it keeps none, another one does.
func (k *Keeper) send(ctx context.Context, to netip.AddrPort, records []Record) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := k.opt.Sender.SendOrigins(ctx, to, Message{Records: records})
	if err == nil {
		k.noteEpoch(to, reply.Epoch)
		return
	}
	k.opt.Log.Debug("origins of streams not sent", zap.Stringer("peer", to), zap.Int("records", len(records)), zap.Error(err))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sentTo = slices.DeleteFunc(k.sentTo, func(addr netip.AddrPort) bool { return addr == to })
	if errors.Is(err, ErrNotKept) {
		k.unableUntil[to] = k.opt.Now().Add(unableTime)
		k.wakeUp()
	}
}

// noteEpoch has all records sent to a holder that has started again since it took some.
func (k *Keeper) noteEpoch(holder netip.AddrPort, epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, known := k.epochs[holder]
	k.epochs[holder] = epoch
	if !known || epoch == before {
		return
	}
	k.opt.Log.Info("holder of the origins of streams has started again", zap.Stringer("peer", holder), zap.Int("records", k.own.Len()))
	k.sentTo = slices.DeleteFunc(k.sentTo, func(addr netip.AddrPort) bool { return addr == holder })
	k.wakeUp()
}
