package dnssrv

import (
	"context"
	"time"

	"github.com/miekg/dns"
)

// maxCacheEntries bounds the cache. Higher, a changing zone takes more memory; lower, a large list is asked for again
// and again.
const maxCacheEntries = 20_000

// cacheEntry is the answer to a question.
type cacheEntry struct {
	records  []dns.RR
	expires  time.Time
	negative bool // there are no such records
}

// lookup is a question that is being asked. done is closed when reply and err are there.
type lookup struct {
	done  chan struct{}
	reply reply
	err   error
}

// cached answers a question from the cache, or asks; where servers fail, an expired answer serves on for a while. One
// question is asked once at a time.
func (r *Resolver) cached(ctx context.Context, q question) ([]dns.RR, time.Duration, error) {
	r.mu.Lock()
	now := r.now()
	if entry := r.cache[q]; entry != nil && now.Before(entry.expires) {
		r.mu.Unlock()
		if entry.negative {
			return nil, 0, ErrNoRecords
		}
		return entry.records, entry.expires.Sub(now), nil
	}
	running := r.startLookup(q)
	r.mu.Unlock()
	var err error
	select {
	case <-running.done:
		err = running.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return r.stale(q, err)
	}
	if running.reply.none {
		return nil, 0, ErrNoRecords
	}
	return running.reply.records, running.reply.ttl, nil
}

// startLookup returns the lookup of a question, which it begins if nobody asks it. The caller holds the lock. The
// lookup's goroutine ends by its own timeout, since others than the caller may wait for it.
func (r *Resolver) startLookup(q question) *lookup {
	if running := r.inFlight[q]; running != nil {
		return running
	}
	started := &lookup{done: make(chan struct{})}
	r.inFlight[q] = started
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.lookupTimeout())
		defer cancel()
		started.reply, started.err = r.ask(ctx, q)
		r.mu.Lock()
		delete(r.inFlight, q)
		if started.err == nil {
			r.store(q, started.reply)
		}
		r.mu.Unlock()
		close(started.done)
	}()
	return started
}

// lookupTimeout is how long a question may take over all servers: each attempt may go over UDP and TCP.
func (r *Resolver) lookupTimeout() time.Duration {
	return time.Duration(2*r.options.Attempts*len(r.options.Servers)+1) * r.options.Timeout
}

// stale answers from the cache past the lifetime, or fails with err.
func (r *Resolver) stale(q question, err error) ([]dns.RR, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.cache[q]
	if entry == nil || entry.negative || !r.now().Before(entry.expires.Add(r.options.MaxStale)) {
		return nil, 0, err
	}
	return entry.records, r.options.MinTTL, nil
}

// store caches an answer. The caller holds the lock.
func (r *Resolver) store(q question, got reply) {
	if len(r.cache) >= maxCacheEntries {
		r.evict()
	}
	r.cache[q] = &cacheEntry{records: got.records, expires: r.now().Add(got.ttl), negative: got.none}
}

// evict makes place in the cache: what has expired goes, and if that is nothing, all.
func (r *Resolver) evict() {
	now := r.now()
	for q, entry := range r.cache {
		if now.After(entry.expires) {
			delete(r.cache, q)
		}
	}
	if len(r.cache) >= maxCacheEntries {
		clear(r.cache)
	}
}
