package resp

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// idBudgetDivisor takes an eighth of a server's byte budget for IDs. With a smaller value, fewer requests and answers
	// can be buffered. With a larger value, requests are rejected sooner while many clients leave.
	idBudgetDivisor = 8
	// minIDBytes is the memory in bytes for IDs beside a tiny budget.
	minIDBytes = 32 << 10
	// idOverhead is the memory of an ID, besides its text, in bytes.
	idOverhead = 160
	// staleIDEntries is how many out-of-date entries an idQueue may hold besides as many as there are others.
	staleIDEntries = 64
)

// errNoRoomForID reports that a request was not accepted because its ID could not be kept if its client left.
var errNoRoomForID = errors.New("no memory for the ids of requests that may have run")

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
//
// The memory of the IDs is bounded. No ID of a request that must not run twice is forgotten before its time: such a
// request is not accepted if there would be no memory for its ID. The IDs of abandoned requests that may run twice take
// what is left, the oldest being forgotten.
type requestIDs struct {
	mu              sync.Mutex // guards the fields below
	open            map[string]openID
	remote          map[string]struct{} // open at the other process
	abandoned       map[string]abandonedID
	protected       idQueue // abandoned IDs of requests that must not run twice
	repeatable      idQueue // abandoned IDs of other requests
	protectedBytes  int     // of the IDs here, open or abandoned, of requests that must not run twice
	repeatableBytes int     // of the IDs of repeatable
	maxBytes        int
	retention       time.Duration // how long IDs of abandoned requests are refused; no request takes longer
	onChange        func(id string, change IDChange)
}

// openID is the state of the ID of an open request.
type openID struct {
	repeatable bool // the request may run twice
	clientLeft bool // it is not known yet whether the request was sent to a node
}

// abandonedID is the state of the ID of an abandoned request.
type abandonedID struct {
	until      time.Time // when the ID is no longer refused
	repeatable bool
}

// idQueue holds abandoned IDs, the earliest first. An entry is out of date if the ID has another state by now.
type idQueue []idEntry

type idEntry struct {
	id    string
	state abandonedID
}

func idBytes(id string) int { return len(id) + idOverhead }

func newRequestIDs(maxBytes int) *requestIDs {
	return &requestIDs{
		open:      map[string]openID{},
		remote:    map[string]struct{}{},
		abandoned: map[string]abandonedID{},
		maxBytes:  maxBytes,
		retention: defaultMaxTimeout,
		onChange:  func(string, IDChange) {},
	}
}

// splitBudget divides a server's byte budget into the parts for requests and their answers, and for IDs.
func splitBudget(maxBytes int) (requestBytes, idBytes int) {
	idBytes = maxBytes / idBudgetDivisor
	return maxBytes - idBytes, max(minIDBytes, idBytes)
}

// resize sets the memory for IDs in bytes.
func (r *requestIDs) resize(maxBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxBytes = maxBytes
	r.bound(time.Now())
}

// setRetention sets how long the IDs of requests that are abandoned from now on are refused.
func (r *requestIDs) setRetention(retention time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retention = retention
}

// add adds a request's ID. repeatable says whether the request may run twice. The error is errNoRoomForID if the ID
// could not be kept. Any other error says that a request with this ID is open, or was abandoned; its text is sent to
// the client.
func (r *requestIDs) add(id string, repeatable bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	earlier, openHere := r.open[id]
	_, openThere := r.remote[id]
	now := time.Now()
	left, abandoned := r.abandoned[id]
	switch {
	case openHere && earlier.clientLeft, abandoned && now.Before(left.until):
		return fmt.Errorf("%w: a request with this id may have run", errMalformed)
	case openHere || openThere:
		return fmt.Errorf("%w: a request with this id is open", errMalformed)
	}
	if !repeatable {
		if r.protectedBytes+idBytes(id) > r.maxBytes {
			r.bound(now)
		}
		if r.protectedBytes+idBytes(id) > r.maxBytes {
			return errNoRoomForID
		}
		r.protectedBytes += idBytes(id)
	}
	r.open[id] = openID{repeatable: repeatable}
	r.onChange(id, IDOpened)
	return nil
}

// leave records that the client of an open request has left. The ID stays refused until end or abandon says whether
// the request may have run.
func (r *requestIDs) leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, open := r.open[id]; open {
		state.clientLeft = true
		r.open[id] = state
	}
}

// end removes the ID of a request whose client has its answer, or which has never run. It ignores an ID that is neither
// open nor abandoned.
func (r *requestIDs) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := r.closeID(id)
	if r.forget(id) || open {
		r.onChange(id, IDEnded)
	}
}

// abandon refuses the ID of a request that may have run, and whose client has left without the answer, for the
// retention time. repeatable says whether the request may run twice.
func (r *requestIDs) abandon(id string, repeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeID(id)
	r.keepAbandoned(id, repeatable)
	r.onChange(id, IDAbandoned)
}

// closeID removes an ID from the open ones, and reports whether it was open. The caller holds r.mu.
func (r *requestIDs) closeID(id string) bool {
	state, open := r.open[id]
	delete(r.open, id)
	if open && !state.repeatable {
		r.protectedBytes -= idBytes(id)
	}
	return open
}

// keepAbandoned adds the ID of an abandoned request. The caller holds r.mu.
func (r *requestIDs) keepAbandoned(id string, repeatable bool) {
	r.forget(id)
	now := time.Now()
	state := abandonedID{until: now.Add(r.retention), repeatable: repeatable}
	r.abandoned[id] = state
	r.count(state, idBytes(id))
	queue := r.queueOf(state)
	*queue = append(*queue, idEntry{id, state})
	r.bound(now)
}

// forget removes an abandoned ID, and reports whether there was one. The caller holds r.mu.
func (r *requestIDs) forget(id string) bool {
	state, abandoned := r.abandoned[id]
	if abandoned {
		delete(r.abandoned, id)
		r.count(state, -idBytes(id))
	}
	return abandoned
}

// queueOf returns the queue for an abandoned ID.
func (r *requestIDs) queueOf(state abandonedID) *idQueue {
	if state.repeatable {
		return &r.repeatable
	}
	return &r.protected
}

// count adds bytes to the sum for an abandoned ID.
func (r *requestIDs) count(state abandonedID, bytes int) {
	if state.repeatable {
		r.repeatableBytes += bytes
	} else {
		r.protectedBytes += bytes
	}
}

// bound forgets the IDs whose time is over and, while there are too many, the oldest of requests that may run twice. The
// caller holds r.mu.
func (r *requestIDs) bound(now time.Time) {
	for _, queue := range []*idQueue{&r.protected, &r.repeatable} {
		r.dropWhile(queue, func(e idEntry) bool { return e.state.until.Before(now) })
	}
	r.dropWhile(&r.repeatable, func(idEntry) bool { return r.protectedBytes+r.repeatableBytes > r.maxBytes })
}

// dropWhile removes entries from the front of a queue that are out of date or that drop selects, and forgets the IDs of
// the latter. If many entries behind them are out of date, it removes these too.
func (r *requestIDs) dropWhile(queue *idQueue, drop func(idEntry) bool) {
	isCurrent := func(e idEntry) bool { return r.abandoned[e.id] == e.state }
	for len(*queue) > 0 {
		first := (*queue)[0]
		current := isCurrent(first)
		if current && !drop(first) {
			break
		}
		if current {
			r.forget(first.id)
		}
		(*queue)[0] = idEntry{}
		*queue = (*queue)[1:]
	}
	if len(*queue) > 2*len(r.abandoned)+staleIDEntries {
		*queue = slices.DeleteFunc(*queue, func(e idEntry) bool { return !isCurrent(e) })
	}
}

// all returns the IDs that are open at this process, and those of requests whose clients have left.
func (r *requestIDs) all() (open, abandoned []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	abandoned = slices.Collect(maps.Keys(r.abandoned))
	for id, state := range r.open {
		if state.clientLeft {
			abandoned = append(abandoned, id)
		} else {
			open = append(open, id)
		}
	}
	return open, abandoned
}

// updateRemote records the IDs of requests that were opened, have ended or were abandoned at the other process. It does
// not say which of them may run twice, so all count as such that must not.
func (r *requestIDs) updateRemote(opened, ended, abandoned []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range opened {
		r.remote[id] = struct{}{}
	}
	for _, id := range ended {
		delete(r.remote, id)
		r.forget(id)
	}
	for _, id := range abandoned {
		delete(r.remote, id)
		r.keepAbandoned(id, false)
	}
}

// abandonRemote records that the other process has ended. Its open requests may have run, and their clients have lost
// their connections.
func (r *requestIDs) abandonRemote() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.remote {
		r.keepAbandoned(id, false)
	}
	clear(r.remote)
}
