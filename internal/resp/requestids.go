package resp

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// requestIDs holds the ids of the requests that wait for their answer, here and at the broker's other process during a
// handover. An id may be open only once: a second request with it would get a second final answer, and nodes could
// execute one write twice.
type requestIDs struct {
	mu       sync.Mutex // guards what follows
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

// add opens an id, unless it is open already. The text of its error goes to the client.
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

// remove ends an id; one that is not open is passed over.
func (r *requestIDs) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.open[id]; open {
		delete(r.open, id)
		r.onChange(id, false)
	}
}

// all returns the ids that are open here.
func (r *requestIDs) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.open))
}

// updateRemote applies the other process's changes of its requests.
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

// clearRemote forgets the ids of the other process.
func (r *requestIDs) clearRemote() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.remote)
}
