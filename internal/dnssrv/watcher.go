package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// firstRetry is the mean pause after a failed lookup; it doubles with each further one, up to maxRetry. Higher, a
	// list is late after an outage; lower, servers that come back are asked by all brokers at once.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 10 * time.Second
	// refreshAt is the part of a lifetime after which the question is asked again, at the latest. Higher, an answer
	// that is late leaves a gap; lower, servers get more queries.
	refreshAt = 0.9
	// refreshJitter is a part of the lifetime by which the question is asked earlier, at random: brokers do not ask
	// together.
	refreshJitter = 10
)

// Update is what a Watcher passes on: the full list of a name, or that it could not be had.
type Update struct {
	QueriedAt time.Time // when the question was asked
	Endpoints []Endpoint
	Skipped   []string // records that were left out, and why
	Err       error
}

// Watcher follows one name's SRV records.
type Watcher struct {
	Resolver *Resolver
	Name     string
	Mapping  Mapping

	endpoints map[string]Endpoint // the last list, by target
}

// Run passes on updates until ctx ends: at once, then before each lifetime ends, and after a failure with a growing
// backoff. A name without records is an empty list.
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

// lookup asks for the list, and returns it with its lifetime. A target whose address could not be had is not one that
// was removed: it stays as it was.
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
