package resp

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxAbandonedIDs bounds the IDs of abandoned requests. With a smaller value, a client could have a request executed
// twice while many other clients leave. With a larger value, clients that leave could take more memory.
const maxAbandonedIDs = 4096

// IDChange says what has become of a request with an ID.
type IDChange int

// The changes of a request's ID.
const (
	IDOpened    IDChange = iota // the request was accepted
	IDEnded                     // the client has its answer, or the request has never run
	IDAbandoned                 // the request may have run, and its client has left without the answer
)

// requestIDs is the set of the IDs that no request may have. These are the IDs of open requests, whose answers are not
// written yet at this process or, during a handover, at the broker's other process, and for a while those of abandoned
// ones. Otherwise a client could get two answers for one ID, and nodes could execute one write twice, also when a
// client that has left comes again.
type requestIDs struct {
	mu        sync.Mutex // guards the fields below
	open      map[string]struct{}
	remote    map[string]struct{}  // open at the other process
	abandoned map[string]time.Time // until when the ID is refused
	order     []abandonedID        // of abandoned, the earliest first
	retention time.Duration        // how long IDs of abandoned requests are refused; no request takes longer
	onChange  func(id string, change IDChange)
}

// abandonedID is an entry of requestIDs.order. It is out of date if the ID has another time in abandoned, or none.
type abandonedID struct {
	id    string
	until time.Time
}

func newRequestIDs() *requestIDs {
	return &requestIDs{
		open:      map[string]struct{}{},
		remote:    map[string]struct{}{},
		abandoned: map[string]time.Time{},
		retention: defaultMaxTimeout,
		onChange:  func(string, IDChange) {},
	}
}

// setRetention sets how long the IDs of requests that are abandoned from now on are refused.
func (r *requestIDs) setRetention(retention time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retention = retention
}

// add adds a request's ID. It fails if a request with this ID is open, or was abandoned. The text of the error is sent
// to the client.
func (r *requestIDs) add(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, openHere := r.open[id]
	_, openThere := r.remote[id]
	if openHere || openThere {
		return fmt.Errorf("%w: a request with this id is open", errMalformed)
	}
	if until, abandoned := r.abandoned[id]; abandoned && time.Now().Before(until) {
		return fmt.Errorf("%w: a request with this id may have run", errMalformed)
	}
	r.open[id] = struct{}{}
	r.onChange(id, IDOpened)
	return nil
}

// end removes the ID of a request whose client has its answer, or which has never run. It ignores an ID that is neither
// open nor abandoned.
func (r *requestIDs) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, open := r.open[id]
	_, abandoned := r.abandoned[id]
	if open || abandoned {
		delete(r.open, id)
		delete(r.abandoned, id)
		r.onChange(id, IDEnded)
	}
}

// abandon refuses the ID of a request that may have run, and whose client has left without the answer, for the
// retention time.
func (r *requestIDs) abandon(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	r.keepAbandoned(id)
	r.onChange(id, IDAbandoned)
}

// keepAbandoned adds the ID of an abandoned request, and forgets those that are out of date or too many. The caller
// holds r.mu.
func (r *requestIDs) keepAbandoned(id string) {
	now := time.Now()
	until := now.Add(r.retention)
	r.abandoned[id] = until
	r.order = append(r.order, abandonedID{id, until})
	for len(r.order) > maxAbandonedIDs || r.order[0].until.Before(now) {
		oldest := r.order[0]
		r.order = r.order[1:]
		if r.abandoned[oldest.id].Equal(oldest.until) {
			delete(r.abandoned, oldest.id)
		}
	}
}

// all returns the IDs that are open at this process, and those of abandoned requests.
func (r *requestIDs) all() (open, abandoned []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.open)), slices.Collect(maps.Keys(r.abandoned))
}

// updateRemote records the IDs of requests that were opened, have ended or were abandoned at the other process.
func (r *requestIDs) updateRemote(opened, ended, abandoned []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range opened {
		r.remote[id] = struct{}{}
	}
	for _, id := range ended {
		delete(r.remote, id)
		delete(r.abandoned, id)
	}
	for _, id := range abandoned {
		delete(r.remote, id)
		r.keepAbandoned(id)
	}
}

// abandonRemote records that the other process has ended. Its open requests may have run, and their clients have lost
// their connections.
func (r *requestIDs) abandonRemote() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.remote {
		r.keepAbandoned(id)
	}
	clear(r.remote)
}
