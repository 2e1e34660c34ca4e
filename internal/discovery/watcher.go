package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// dialTimeout limits the time for connecting to the service. With a larger value, an unreachable service is noticed
// later. With a smaller value, a busy service is treated as unreachable.
const dialTimeout = time.Second

// Watcher follows the endpoint list of a discovery service.
type Watcher struct {
	client   *http.Client
	log      *slog.Logger
	moves    chan string // latest address from SetAddress that Run has not received yet
	timeouts atomic.Pointer[pollTimeouts]

	// Used only by Run.
	address     string
	version     uint64    // of the latest accepted list
	confirmedAt time.Time // when a list was last accepted

	mu      sync.Mutex
	current EndpointList // all lists so far, merged
}

// NewWatcher returns a watcher of the discovery service at address.
func NewWatcher(address string, options Options) *Watcher {
	dialer := net.Dialer{Timeout: dialTimeout}
	if options.Local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: options.Local}
	}
	transport := &http.Transport{
		DialContext:        dialer.DialContext,
		MaxIdleConns:       1,
		MaxConnsPerHost:    2, // an abandoned poll and the next one
		DisableCompression: true,
	}
	w := &Watcher{
		address: address,
		moves:   make(chan string, 1),
		client:  &http.Client{Transport: transport},
		log:     options.Log,
	}
	w.UpdateOptions(options)
	return w
}

// UpdateOptions sets the timeouts according to options, from the next poll on.
func (w *Watcher) UpdateOptions(options Options) {
	timeouts := options.pollTimeouts()
	w.timeouts.Store(&timeouts)
}

// Resume sets the list from which the watch starts, such as one from a handover. It must be called before Run.
func (w *Watcher) Resume(list *EndpointList) {
	w.version = list.Version
	w.confirmedAt = time.Now()
	w.merge(list)
}

// SetAddress makes the watch continue immediately at another address. It must not be called concurrently.
func (w *Watcher) SetAddress(address string) {
	select {
	case <-w.moves: // an earlier address that Run has not received yet
	default:
	}
	w.moves <- address
}

// Run posts each list until ctx ends. After a lost poll or a change of address it polls for the full list.
func (w *Watcher) Run(ctx context.Context, clock *broker.Clock, post func(broker.Event)) {
	for ctx.Err() == nil {
		w.runUntilMoved(ctx, clock, post)
		w.client.CloseIdleConnections()
	}
}

// runUntilMoved watches the current address until the address changes or ctx ends.
func (w *Watcher) runUntilMoved(ctx context.Context, clock *broker.Clock, post func(broker.Event)) {
	watchCtx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.watch(watchCtx, clock, post)
	}()
	next := w.address
	select {
	case <-ctx.Done():
	case next = <-w.moves:
	}
	cancel()
	<-ended
	w.address = next
}

// watch polls one address until ctx ends.
func (w *Watcher) watch(ctx context.Context, clock *broker.Clock, post func(broker.Event)) {
	request := pollRequest{full: true}
	failing := false // whether the latest poll failed
	backoff := firstBackoff
	for {
		list, err := w.poll(ctx, request)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if err = w.checkVersion(list); err != nil {
				w.apply(w.drainingEndpoints(list), clock, post)
			}
		}
		if err == nil {
			if failing {
				w.log.Info("discovery recovered")
			}
			failing = false
			backoff = firstBackoff
			request = pollRequest{version: list.Version}
			w.apply(list, clock, post)
			continue
		}
		if !failing {
			w.log.Warn("discovery poll failed", "reason", err)
		}
		failing = true
		// After an HTTP status error, the service still has the version. After any other failure it may have lost it.
		request.full = request.full || !errors.Is(err, errBadStatus)
		wait(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, w.timeouts.Load().maxBackoff)
	}
}

// wait waits until the pause has passed or ctx ends.
func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// apply merges a list into the current one and posts it. It does not post a change without endpoints.
func (w *Watcher) apply(list *EndpointList, clock *broker.Clock, post func(broker.Event)) {
	w.merge(list)
	if list.Full {
		post(list.Event(scheduler.FullUpdate, clock))
	} else if len(list.Endpoints) > 0 {
		post(list.Event(scheduler.DeltaUpdate, clock))
	}
}
