package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
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
		MaxConnsPerHost:    maxLatePolls + 2, // late polls, one that is being cancelled, and the current one
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

// UpdateOptions derives the timeouts from options. The timeouts apply from the next poll on. The options
// Local and Log have no effect here.
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

// Run polls until ctx ends. It posts each accepted full list and each accepted change with endpoints. For a stale list,
// it posts only the drains that drainingEndpoints derives from the list. Run polls for the full list at the start,
// after a change of address and after a failed poll. An HTTP status other than 200 alone does not cause such a poll.
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
		w.newWatch(watchCtx, clock, post).run()
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
