package fleetharness

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

// Conflict describes the longest time during which a broker acted on an outdated version of the configuration after
// another broker had first acted on a version that contradicts it.
type Conflict struct {
	LongestUS int64  `json:"longest_us"`
	Trace     string `json:"story,omitempty"`
	Versions  int    `json:"versions"`
	Spans     int    `json:"spans"` // intervals in which a broker acted on one view
	// CommitToAllUS holds, for each version, the time in µs from its commit until the last broker with a lease acted on
	// it. The times are sorted in ascending order.
	CommitToAllUS []int64 `json:"commit_to_all_us"`
}

// viewSpan is the interval in which a broker acted on one view of the configuration.
type viewSpan struct {
	process                 string
	from, to                time.Duration
	epoch, version, pending uint64
	restricted              bool
}

// active reports whether the broker acted on a version with a lease. A restricted broker has no lease.
func (s viewSpan) active() bool { return !s.restricted && s.version != 0 }

// numberAttribute returns a numeric attribute of a log line, or 0 if the line does not have the attribute. It parses a
// float because decoded JSON prints large numbers as floats.
func numberAttribute(l LogLine, key string) uint64 {
	n, err := strconv.ParseFloat(l.Attributes[key], 64)
	if err != nil {
		return 0
	}
	return uint64(n)
}

// viewSpans derives from the log lines which broker acted on which view, and when. A view ends with the broker's last
// turn before the next view, because a stopped process makes no decisions.
func (r *recorder) viewSpans() []viewSpan {
	r.mu.Lock()
	end := Now() - r.startedAt
	lines := slices.Clone(r.logs)
	r.mu.Unlock()
	slices.SortStableFunc(lines, func(a, b LogLine) int { return cmp.Compare(a.At, b.At) })

	var spans []viewSpan
	last := map[string]int{} // index of the current span, by process
	for _, line := range lines {
		current, known := last[line.Process]
		switch line.Message {
		case logKilled:
			if known {
				spans[current].to = line.At
				delete(last, line.Process)
			}
		case logViewApplied:
			if known {
				sinceLastTurn := time.Duration(numberAttribute(line, "before_us")) * time.Microsecond
				spans[current].to = max(spans[current].from, line.At-sinceLastTurn)
			}
			last[line.Process] = len(spans)
			spans = append(spans, newViewSpan(line))
		}
	}
	for i := range spans {
		spans[i].to = min(spans[i].to, end)
	}
	return spans
}

// newViewSpan returns a span that begins with a log line and has no end yet.
func newViewSpan(line LogLine) viewSpan {
	return viewSpan{
		process:    line.Process,
		from:       line.At,
		to:         math.MaxInt64,
		epoch:      numberAttribute(line, "epoch"),
		version:    numberAttribute(line, "version"),
		pending:    numberAttribute(line, "preparing"),
		restricted: line.Attributes["restricted"] == "true",
	}
}

// versionID identifies a version. Version numbers start again in each epoch.
type versionID struct{ epoch, version uint64 }

// firstUses holds when a broker first acted on each version, and on any version of each epoch.
type firstUses struct {
	versions map[versionID]time.Duration
	epochs   map[uint64]time.Duration
}

func newFirstUses(spans []viewSpan) firstUses {
	uses := firstUses{versions: map[versionID]time.Duration{}, epochs: map[uint64]time.Duration{}}
	for _, span := range spans {
		if !span.active() {
			continue
		}
		keepEarliest(uses.epochs, span.epoch, span.from)
		keepEarliest(uses.versions, versionID{span.epoch, span.version}, span.from)
	}
	return uses
}

func keepEarliest[K comparable](times map[K]time.Duration, key K, at time.Duration) {
	if known, ok := times[key]; !ok || at < known {
		times[key] = at
	}
}

// contradicts reports whether a version contradicts the view on which a broker acts. It does if the version is later in
// the same epoch and the broker has not prepared it, or if the version's epoch was first used later.
func (u firstUses) contradicts(version versionID, span viewSpan) bool {
	if version.epoch == span.epoch {
		return version.version > span.version && span.pending != version.version
	}
	return u.epochs[version.epoch] > u.epochs[span.epoch]
}

// LongestConflict returns the longest conflict that the log lines of all processes show.
func (f *Fleet) LongestConflict() Conflict { return f.recorder.longestConflict() }

func (r *recorder) longestConflict() Conflict {
	spans := r.viewSpans()
	uses := newFirstUses(spans)
	conflict := Conflict{
		Versions:      len(uses.versions),
		Spans:         len(spans),
		CommitToAllUS: r.commitToAll(spans),
	}
	for _, span := range spans {
		if !span.active() {
			continue
		}
		for version, firstUse := range uses.versions {
			micros := (span.to - firstUse).Microseconds()
			if !uses.contradicts(version, span) || micros <= conflict.LongestUS {
				continue
			}
			conflict.LongestUS = micros
			conflict.Trace = fmt.Sprintf("seed %d: %s acted on version %d (preparing %d) until %.4f s, "+
				"version %d was acted on from %.4f s on",
				r.seed, span.process, span.version, span.pending, span.to.Seconds(),
				version.version, firstUse.Seconds())
		}
	}
	return conflict
}

// commitToAll returns the times for Conflict.CommitToAllUS.
func (r *recorder) commitToAll(spans []viewSpan) []int64 {
	committed := map[uint64]time.Duration{}
	for _, line := range r.linesWith(logVersionActivated) {
		version, err := strconv.ParseFloat(line.Attributes["version"], 64)
		if err == nil {
			keepEarliest(committed, uint64(version), line.At)
		}
	}
	var times []int64
	for version, at := range committed {
		if latest := lastApplied(spans, version, at); latest > 0 {
			times = append(times, latest.Microseconds())
		}
	}
	slices.Sort(times)
	return times
}

// lastApplied returns the time from a version's commit until the last broker acted on the version. Only brokers that
// held a lease before and after the change count. The result is 0 if there are none.
func lastApplied(spans []viewSpan, version uint64, committedAt time.Duration) time.Duration {
	latest := time.Duration(0)
	previous := map[string]viewSpan{} // by process
	for _, span := range spans {
		old, known := previous[span.process]
		previous[span.process] = span
		keptLease := known && !old.restricted && !span.restricted
		if keptLease && old.version < version && span.version >= version && span.from >= committedAt {
			latest = max(latest, span.from-committedAt)
		}
	}
	return latest
}
