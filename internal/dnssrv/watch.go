package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Endpoint is one node as DNS has it.
type Endpoint struct {
	Target           string
	Address          string
	OtherAddresses   []string // further addresses of the target
	Priority, Weight uint16
	Shard            int
	Zone, Kind       string
	Share            float64 // 0: not told
}

// Mapping say where an entry's shard, zone, kind and share come from.
type Mapping struct {
	Pattern *regexp.Regexp // over the target, with groups shard, zone, kind and share; nil for none
	UseTXT  bool           // TXT strings of the target such as "shard=3"
	Shard   int            // where neither tells; below 0: an entry without a shard is left out
	Zone    string
	Kind    string
}

// entry works out a record's entry.
func (f Mapping) entry(r Record) (Endpoint, error) {
	e := Endpoint{Target: r.Target, Address: r.Addresses[0], OtherAddresses: r.Addresses[1:], Priority: r.Priority, Weight: r.Weight, Shard: f.Shard, Zone: f.Zone, Kind: f.Kind}
	set := func(key, value string) error {
		var err error
		switch key {
		case "shard":
			var n uint64
			n, err = strconv.ParseUint(value, 10, 31)
			e.Shard = int(n)
		case "zone":
			e.Zone = value
		case "kind":
			e.Kind = value
		case "share":
			e.Share, err = strconv.ParseFloat(value, 64)
			if err == nil && !(e.Share > 0 && e.Share < 1e6) {
				err = fmt.Errorf("%q is not above 0", value)
			}
		}
		if err != nil {
			return fmt.Errorf("%s: %s: %w", r.Target, key, err)
		}
		return nil
	}
	if f.Pattern != nil {
		found := f.Pattern.FindStringSubmatch(r.Target)
		for i, name := range f.Pattern.SubexpNames() {
			if found != nil && name != "" && found[i] != "" {
				if err := set(name, found[i]); err != nil {
					return e, err
				}
			}
		}
	}
	for _, text := range r.TXT {
		for pair := range strings.FieldsSeq(text) {
			if key, value, is := strings.Cut(pair, "="); is {
				if err := set(key, value); err != nil {
					return e, err
				}
			}
		}
	}
	if e.Shard < 0 {
		return e, fmt.Errorf("%s: its shard is told nowhere", r.Target)
	}
	return e, nil
}

// Update is what a Watcher tells: the whole list of a name, or that it could not be had.
type Update struct {
	QueriedAt time.Time // when the question was asked
	Endpoints []Endpoint
	Skipped   []string // entries that were left out, and why
	Err       error
}

// Watcher follows one name's SRV records.
type Watcher struct {
	Resolver *Resolver
	Name     string
	Mapping  Mapping

	held map[string]Endpoint // by target
}

const (
	firstRetry = 250 * time.Millisecond
	mostRetry  = 10 * time.Second
	refresh    = 0.9 // of a lifetime, by then the question is asked again
)

// Run tells news until ctx ends: at once, then before each lifetime ends, and after a failure in growing waits. A name
// without records is told as an empty list.
func (w *Watcher) Run(ctx context.Context, tell func(Update)) {
	retry := firstRetry
	for ctx.Err() == nil {
		news, ttl := w.once(ctx)
		if ctx.Err() != nil {
			return
		}
		tell(news)
		wait := time.Duration(refresh*float64(ttl)) - rand.N(ttl/10+1)
		if news.Err != nil {
			wait = retry/2 + rand.N(retry)
			retry = min(2*retry, mostRetry)
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

// once asks for the list. A target whose address could not be had is not one that was removed: it stays as it was.
func (w *Watcher) once(ctx context.Context) (Update, time.Duration) {
	news := Update{QueriedAt: time.Now()}
	answer, err := w.Resolver.Lookup(ctx, w.Name, w.Mapping.UseTXT)
	if errors.Is(err, ErrNoRecords) {
		return news, answer.TTL
	}
	if err != nil {
		news.Err = err
		return news, 0
	}
	here := map[string]Endpoint{}
	add := func(e Endpoint) {
		news.Endpoints = append(news.Endpoints, e)
		here[e.Target] = e
	}
	for _, lost := range answer.Unresolved {
		news.Skipped = append(news.Skipped, fmt.Sprintf("%s: %v", lost.Target, lost.Err))
		if e, held := w.held[lost.Target]; held {
			add(e)
		}
	}
	for _, r := range answer.Records {
		e, err := w.Mapping.entry(r)
		if err != nil {
			news.Skipped = append(news.Skipped, err.Error())
			continue
		}
		add(e)
	}
	if len(news.Endpoints) == 0 {
		news.Err = fmt.Errorf("none of %d records can be used: %s", len(news.Skipped), news.Skipped[0])
		return news, 0
	}
	w.held = here
	return news, answer.TTL
}
