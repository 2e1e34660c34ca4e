package dnssrv

import (
	"context"
	"time"

	"github.com/miekg/dns"
)

// maxCacheEntries limits the cache. With a larger value, a zone whose names change uses more memory. With a smaller
// value, the targets of a large list are queried repeatedly.
const maxCacheEntries = 20_000

// cacheEntry is the cached answer to a question.
type cacheEntry struct {
	records  []dns.RR
	expires  time.Time
	negative bool // the records do not exist
}

// lookup is a question that is being queried. done is closed after reply and err have been set.
type lookup struct {
	done  chan struct{}
	reply reply
	err   error
}

// cached answers a question from the cache or queries servers. If the servers fail, it returns expired records for up
// to MaxStale. Concurrent calls for the same question share one lookup.
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

// startLookup returns the running lookup of a question, or starts one. The caller must hold the lock. The lookup does
// not use the caller's context but has its own timeout, since other callers may wait for the same lookup.
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

// lookupTimeout returns the time limit of a lookup over all servers. Each attempt may use UDP and then TCP.
func (r *Resolver) lookupTimeout() time.Duration {
	return time.Duration(2*r.options.Attempts*len(r.options.Servers)+1) * r.options.Timeout
}

// stale returns the expired cached records of a question, or err if there are none or they are too old.
func (r *Resolver) stale(q question, err error) ([]dns.RR, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.cache[q]
	if entry == nil || entry.negative || !r.now().Before(entry.expires.Add(r.options.MaxStale)) {
		return nil, 0, err
	}
	return entry.records, r.options.MinTTL, nil
}

// store caches an answer. The caller must hold the lock.
func (r *Resolver) store(q question, got reply) {
	if len(r.cache) >= maxCacheEntries {
		r.evict()
	}
	r.cache[q] = &cacheEntry{records: got.records, expires: r.now().Add(got.ttl), negative: got.none}
}

// evict removes expired entries from the cache. If the cache is still full, evict removes all entries.
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
