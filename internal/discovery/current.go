package discovery

import (
	"fmt"
	"slices"
	"time"

	"junctionwharf/scheduler"
)

// staleListTimeout is how long full lists with a version older than the current one are rejected. With a larger value,
// a service that was set up anew and restarted its version count is ignored for longer. With a smaller value, a replica
// of the service that lags behind could make draining nodes ready again.
const staleListTimeout = 10 * time.Second

// staleListError reports a list with a version older than the current one.
type staleListError struct {
	version, held uint64
}

// Error implements error.
func (e *staleListError) Error() string {
	return fmt.Sprintf("list version %d is older than the current version %d", e.version, e.held)
}

// Current returns a copy of the current full list, or nil before the first one. It may be called by any goroutine.
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

// merge applies an update to the current list.
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

// checkVersion returns a staleListError for a list whose version is older than the current one. Such a list comes from
// a service that lags behind the previously polled one, and would make draining nodes ready again. If full lists remain
// older for staleListTimeout, the service has restarted its version count and the list is accepted.
func (w *Watcher) checkVersion(list *EndpointList) error {
	now := time.Now()
	if list.Version < w.version && (!list.Full || now.Sub(w.confirmedAt) < staleListTimeout) {
		return &staleListError{version: list.Version, held: w.version}
	}
	w.version = list.Version
	w.confirmedAt = now
	return nil
}

// drainingEndpoints returns a change of the current list for a stale list. The change drains the nodes that are ready
// in the current list and draining or removed in the stale one. They are drained although the list is stale, since the
// list may come from a restarted version count. A node without requests for a while costs less than a missed drain.
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
