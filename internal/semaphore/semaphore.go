// Package room counts places that may be taken, such as descriptors. Their number can change.
package room

import (
	"context"
	"sync"
)

// Room is a number of places.
type Room struct {
	mu      sync.Mutex
	taken   int
	most    int
	changed chan struct{} // closed when a place may have come free, nil if nobody waits
}

// New returns a room of so many places.
func New(most int) *Room { return &Room{most: most} }

// TryTake takes a place if there is one.
func (r *Room) TryTake() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.take()
}

func (r *Room) take() bool {
	if r.taken >= r.most {
		return false
	}
	r.taken++
	return true
}

// Take waits for a place.
func (r *Room) Take(ctx context.Context) error {
	for {
		r.mu.Lock()
		if r.take() {
			r.mu.Unlock()
			return nil
		}
		if r.changed == nil {
			r.changed = make(chan struct{})
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Give gives a place back.
func (r *Room) Give() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken--
	r.tell()
}

// Resize changes the number of places. Those taken beyond it stay so until they are given back.
func (r *Room) Resize(most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = most
	r.tell()
}

// Over tells whether more places are taken than there are.
func (r *Room) Over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken > r.most
}

// Wanted tells whether somebody waits for a place.
func (r *Room) Wanted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed != nil
}

// Taken tells how many places are taken.
func (r *Room) Taken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken
}

func (r *Room) tell() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
