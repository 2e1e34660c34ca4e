package resp

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// requestIDs is the set of the IDs of open requests. A request is open while it waits for its answer at this process
// or, during a handover, at the broker's other process. Two open requests must not have the same ID: the client would
// get two answers for one ID, and nodes could execute one write twice.
type requestIDs struct {
	mu       sync.Mutex // guards the fields below
	open     map[string]struct{}
	remote   map[string]struct{} // open at the other process
	onChange func(id string, opened bool)
}

func newRequestIDs() *requestIDs {
	return &requestIDs{
		open:     map[string]struct{}{},
		remote:   map[string]struct{}{},
		onChange: func(string, bool) {},
	}
}

// add adds a request's ID. It fails if a request with this ID is open. The text of the error is sent to the client.
func (r *requestIDs) add(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, openHere := r.open[id]
	_, openThere := r.remote[id]
	if openHere || openThere {
		return fmt.Errorf("%w: a request with this id is open", errMalformed)
	}
	r.open[id] = struct{}{}
	r.onChange(id, true)
	return nil
}

// remove removes the ID of a request that has ended. It ignores an ID that is not open.
func (r *requestIDs) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.open[id]; open {
		delete(r.open, id)
		r.onChange(id, false)
	}
}

// all returns the IDs that are open at this process.
func (r *requestIDs) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.open))
}

// updateRemote adds the IDs of requests that were opened at the other process, and removes those that ended there.
func (r *requestIDs) updateRemote(opened, ended []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range opened {
		r.remote[id] = struct{}{}
	}
	for _, id := range ended {
		delete(r.remote, id)
	}
}

// clearRemote removes all IDs of the other process.
func (r *requestIDs) clearRemote() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.remote)
}
