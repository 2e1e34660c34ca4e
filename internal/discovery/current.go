package discovery

import (
	"fmt"
	"slices"
	"time"

	"junctionwharf/scheduler"
)

// staleListTimeout is for how long a full list that is older than the one held is not applied. Higher, a service that
// was set up anew and counts from the start is ignored for longer; lower, a replica of it that is behind brings back
// nodes that drain.
const staleListTimeout = 10 * time.Second

// staleListError is of a list that is older than the one held.
type staleListError struct {
	version, held uint64
}

// Error implements error.
func (e *staleListError) Error() string {
	return fmt.Sprintf("list %d is older than %d, which is held", e.version, e.held)
}

// Current returns the full list as it is now, nil before there is one. It is for any goroutine.
func (w *Watcher) Current() *EndpointList {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.current.Full {
		return nil
	}
	list := w.current
	list.Endpoints = slices.Clone(list.Endpoints)
	return &list
}

// merge brings the current list up to date.
func (w *Watcher) merge(update *EndpointList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if update.Full {
		w.current.Endpoints = nil
		w.current.Full = true
	}
	w.current.Version = update.Version
	for _, endpoint := range update.Endpoints {
		w.current.Endpoints = slices.DeleteFunc(w.current.Endpoints, func(old Endpoint) bool {
			return old.Name == endpoint.Name
		})
		if endpoint.State != scheduler.Removed {
			w.current.Endpoints = append(w.current.Endpoints, endpoint)
		}
	}
}

// checkVersion guards against a service that is behind the one polled before: its list would bring back nodes that
// are known to drain. Such a list is a staleListError. A full list that stays older for long comes from a new count
// and is applied.
func (w *Watcher) checkVersion(list *EndpointList) error {
	now := time.Now()
	if list.Version < w.version && (!list.Full || now.Sub(w.confirmedAt) < staleListTimeout) {
		return &staleListError{version: list.Version, held: w.version}
	}
	w.version = list.Version
	w.confirmedAt = now
	return nil
}

// drainingEndpoints returns, as a change of the current list, the nodes that are held as ready and that a stale list
// names as draining or gone. They count all the same: the list may come from a new count, and a node that gets
// nothing for a while costs less than a broken drain.
func (w *Watcher) drainingEndpoints(stale *EndpointList) *EndpointList {
	w.mu.Lock()
	defer w.mu.Unlock()
	change := &EndpointList{Version: w.current.Version}
	for _, endpoint := range stale.Endpoints {
		i := slices.IndexFunc(w.current.Endpoints, func(held Endpoint) bool { return held.Name == endpoint.Name })
		if endpoint.State == scheduler.Ready || i < 0 || w.current.Endpoints[i].State != scheduler.Ready {
			continue
		}
		draining := w.current.Endpoints[i]
		draining.State = scheduler.Draining
		change.Endpoints = append(change.Endpoints, draining)
	}
	return change
}
