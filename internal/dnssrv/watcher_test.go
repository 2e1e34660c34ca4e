package dnssrv

import (
	"context"
	"testing"
	"time"

	"junctionwharf/internal/fakes"
)

// updateReader reads the updates of a watcher until a timeout.
type updateReader struct {
	updates chan Update
	timeout <-chan time.Time
}

// await returns the first update that matches.
func (r *updateReader) await(t *testing.T, what string, matches func(Update) bool) Update {
	t.Helper()
	for {
		select {
		case update := <-r.updates:
			if matches(update) {
				return update
			}
		case <-r.timeout:
			t.Fatalf("no update with a %s before the timeout", what)
		}
	}
}

// A list gets shorter, a target loses its address, the server stops answering, and finally there are no records. The
// watcher posts each list, the failure and finally an empty list. The target without an address keeps its previous
// endpoint.
func TestWatcherPostsListsAndFailures(t *testing.T) {
	server := startServer(t)
	server.Set(service, 1, testNames(3)...)
	watcher := &Watcher{
		Resolver: newTestResolver(t, server),
		Name:     service,
		Mapping:  Mapping{UseTXT: true, Shard: -1},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := &updateReader{updates: make(chan Update, 100), timeout: time.After(20 * time.Second)}
	go watcher.Run(ctx, func(update Update) { reader.updates <- update })

	full := reader.await(t, "list", func(u Update) bool { return len(u.Endpoints) == 3 })
	if full.Endpoints[2].Shard != 2 || full.Endpoints[2].Share != 1.5 {
		t.Errorf("full list is %+v", full)
	}
	server.Set(service, 1, testNames(2)...)
	reader.await(t, "shorter list", func(u Update) bool { return len(u.Endpoints) == 2 && u.Err == nil })

	server.OmitAdditional()
	names := testNames(2)
	names[1].Addresses = nil
	server.Set(service, 1, names...)
	watcher.Resolver.mu.Lock()
	clear(watcher.Resolver.cache)
	watcher.Resolver.mu.Unlock()
	reader.await(t, "list with a target that keeps its address", func(u Update) bool {
		return len(u.Endpoints) == 2 && len(u.Skipped) == 1
	})
	server.SetFault(fakes.NoAnswer)
	reader.await(t, "failure", func(u Update) bool { return u.Err != nil })
	server.SetFault(fakes.NoData)
	reader.await(t, "empty list", func(u Update) bool { return u.Err == nil && len(u.Endpoints) == 0 })
}
