package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// firstRetry is the mean pause after the first failed lookup. Each further failure doubles the pause, up to
	// maxRetry. With larger values, the list is late after an outage. With smaller values, all brokers query recovering
	// servers at once.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 10 * time.Second
	// refreshAt is the part of a list's lifetime after which it is queried again at the latest. With a larger value, a
	// late answer arrives after the lifetime. With a smaller value, servers receive more queries.
	refreshAt = 0.9
	// refreshJitter is a divisor of the lifetime. A query is sent earlier by a random time of up to the quotient, so
	// that brokers do not query at the same time.
	refreshJitter = 10
)

// Update is a result that a Watcher posts: the full list of a name, or an error.
type Update struct {
	QueriedAt time.Time // when the lookup began
	Endpoints []Endpoint
	Skipped   []string // omitted records, each with the reason
	Err       error
}

// Watcher follows the SRV records of one name.
type Watcher struct {
	Resolver *Resolver
	Name     string
	Mapping  Mapping

	endpoints map[string]Endpoint // the latest list, by target
}

// Run posts updates until ctx ends. It queries the list immediately, again before each lifetime ends, and after a
// failure with a growing backoff. If the name has no records, it posts an empty list.
func (w *Watcher) Run(ctx context.Context, post func(Update)) {
	retry := firstRetry
	for ctx.Err() == nil {
		update, ttl := w.lookup(ctx)
		if ctx.Err() != nil {
			return
		}
		post(update)
		wait := time.Duration(refreshAt*float64(ttl)) - rand.N(ttl/refreshJitter+1)
		if update.Err != nil {
			wait = retry/2 + rand.N(retry)
			retry = min(2*retry, maxRetry)
		} else {
			retry = firstRetry
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// lookup queries the list and returns it with its lifetime. If a target cannot be resolved, its endpoint from the
// previous list is kept, since the target was not removed.
func (w *Watcher) lookup(ctx context.Context) (Update, time.Duration) {
	update := Update{QueriedAt: time.Now()}
	answer, err := w.Resolver.Lookup(ctx, w.Name, w.Mapping.UseTXT)
	if errors.Is(err, ErrNoRecords) {
		return update, answer.TTL
	}
	if err != nil {
		update.Err = err
		return update, 0
	}
	endpoints := map[string]Endpoint{}
	add := func(e Endpoint) {
		update.Endpoints = append(update.Endpoints, e)
		endpoints[e.Target] = e
	}
	for _, unresolved := range answer.Unresolved {
		update.Skipped = append(update.Skipped, fmt.Sprintf("%s: %v", unresolved.Target, unresolved.Err))
		if e, held := w.endpoints[unresolved.Target]; held {
			add(e)
		}
	}
	for _, record := range answer.Records {
		e, err := w.Mapping.endpoint(record)
		if err != nil {
			update.Skipped = append(update.Skipped, err.Error())
			continue
		}
		add(e)
	}
	if len(update.Endpoints) == 0 {
		skipped := len(update.Skipped)
		update.Err = fmt.Errorf("none of %d records can be used: %s", skipped, update.Skipped[0])
		return update, 0
	}
	w.endpoints = endpoints
	return update, answer.TTL
}
