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

// dialTimeout bounds a connection to the service. Higher, a service that is gone is noticed later; lower, a busy one
// counts as gone.
const dialTimeout = time.Second

// Watcher follows discovery.
type Watcher struct {
	client   *http.Client
	log      *slog.Logger
	moves    chan string // the latest address to go on at
	timeouts atomic.Pointer[pollTimeouts]

	// Run's own.
	address     string
	version     uint64    // of the list posted last
	confirmedAt time.Time // when that list was last confirmed

	mu      sync.Mutex
	current EndpointList // the lists so far, merged
}

// NewWatcher returns a watcher of the service at address.
func NewWatcher(address string, options Options) *Watcher {
	dialer := net.Dialer{Timeout: dialTimeout}
	if options.Local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: options.Local}
	}
	transport := &http.Transport{
		DialContext:        dialer.DialContext,
		MaxIdleConns:       1,
		MaxConnsPerHost:    2, // a poll that is given up and the next one
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

// UpdateOptions has the next poll use the timeouts of changed options.
func (w *Watcher) UpdateOptions(options Options) {
	timeouts := options.pollTimeouts()
	w.timeouts.Store(&timeouts)
}

// Resume has the watch go on from a list that was held before. It is called before Run.
func (w *Watcher) Resume(list *EndpointList) {
	w.version = list.Version
	w.confirmedAt = time.Now()
	w.merge(list)
}

// SetAddress has the watch go on at another address, at once. It is for one caller at a time.
func (w *Watcher) SetAddress(address string) {
	select {
	case <-w.moves: // an earlier move that has not begun
	default:
	}
	w.moves <- address
}

// Run posts each list until ctx ends. After a lost poll or a change of address it asks for the full list anew.
func (w *Watcher) Run(ctx context.Context, clock *broker.Clock, post func(broker.Event)) {
	for ctx.Err() == nil {
		w.runUntilMoved(ctx, clock, post)
		w.client.CloseIdleConnections()
	}
}

// runUntilMoved watches at the present address until it changes or ctx ends.
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
	failing := false // the latest poll failed
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
		// An overloaded service has the version still; after any other failure it may have lost it.
		request.full = request.full || !errors.Is(err, errBadStatus)
		wait(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, w.timeouts.Load().maxBackoff)
	}
}

// wait waits, but no longer than ctx.
func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// apply merges a list into the current one and posts it, unless it says nothing.
func (w *Watcher) apply(list *EndpointList, clock *broker.Clock, post func(broker.Event)) {
	w.merge(list)
	if list.Full {
		post(list.Event(scheduler.FullUpdate, clock))
	} else if len(list.Endpoints) > 0 {
		post(list.Event(scheduler.DeltaUpdate, clock))
	}
}
