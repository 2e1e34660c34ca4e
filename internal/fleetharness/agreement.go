package fleetharness

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"junctionwharf/internal/agreement"
	"junctionwharf/internal/console"
)

// Agreement has brokers agree on settings, over links of the rig.
type Agreement struct {
	Voters          int     `toml:"voters"`   // the first so many brokers; 0: nothing is agreed on
	BoundMS         float64 `toml:"bound_ms"` // 0: the daemon's own
	MaxChildren     int     `toml:"feeds"`    // brokers that hear from one; 0: the daemon's own
	Persistent      bool    `toml:"disk"`     // voters keep their state over restarts
	LimitFloor      float64 `toml:"floor"`    // of the limit of plan basico; 0: it is not agreed on
	DedicatedVoters bool    `toml:"control"`  // the voters are processes for control, without clients, and all others feed nobody
	ChangeIntervalS float64 `toml:"change_s"` // a change is proposed at a drawn broker each so many seconds; 0: none
}

func (a Agreement) check(brokers int) error {
	switch {
	case a.Voters != 0 && a.Voters != 3 && a.Voters != 5 && a.Voters != 7 || a.Voters > brokers:
		return fmt.Errorf("agreement.voters: %d is none of 3, 5 and 7, or more than brokers", a.Voters)
	case a.BoundMS < 0 || a.MaxChildren < 0 || a.LimitFloor < 0 || a.ChangeIntervalS < 0:
		return fmt.Errorf("agreement: bound_ms, feeds, floor and change_s can't be negative")
	case a.DedicatedVoters && (a.Voters == 0 || a.Voters == brokers):
		return fmt.Errorf("agreement.control: voters and brokers beside them are wanted")
	case a.Voters == 0 && a.ChangeIntervalS > 0:
		return fmt.Errorf("agreement.change_s: there are no voters")
	}
	return nil
}

// site is the site file's part for a broker. Others reach it through its relay.
func (r *Fleet) agreementSite(number int, home string) string {
	a := r.scenario.Agreement
	if a.Voters == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("\n[agreement]\ncluster = \"rig\"\n")
	if !a.DedicatedVoters || number < a.Voters {
		fmt.Fprintf(&b, "listen = %q\n", r.address(1, number, 7003))
	}
	if a.BoundMS > 0 {
		fmt.Fprintf(&b, "bound_ms = %v\n", a.BoundMS)
	}
	if feeds := a.MaxChildren; feeds > 0 {
		fmt.Fprintf(&b, "feeds = %d\n", feeds)
	} else if a.DedicatedVoters { // with two of them gone the others still feed all
		fmt.Fprintf(&b, "feeds = %d\n", max(2, r.scenario.total()/max(1, a.Voters-2)))
	}
	if a.Persistent && number < a.Voters {
		dir := filepath.Join(home, "state")
		_ = os.MkdirAll(dir, 0o700)
		fmt.Fprintf(&b, "dir = %q\n", dir)
	}
	b.WriteString("members = [")
	for i := range a.Voters {
		fmt.Fprintf(&b, "{name = \"broker-%d\", address = %q}, ", i, r.address(50, i, 7003))
	}
	b.WriteString("]\n")
	if a.LimitFloor > 0 {
		fmt.Fprintf(&b, "[agreement.limits]\nbasico = %v\n", a.LimitFloor)
	}
	return b.String()
}

// parting keeps brokers from others: the ways between those in it and those out of it.
type partition struct {
	brokers       map[int]bool
	dropsSent     bool // what those in it say does not come through
	dropsReceived bool // what is said to them does not
}

// partings are those that hold now.
type partitions struct {
	mu      sync.Mutex
	changed *sync.Cond
	active  []*partition
	conns   map[net.Conn]bool
	closed  bool
}

func (p *partitions) blocked(from, to int) bool {
	for _, x := range p.active {
		if x.brokers[from] && !x.brokers[to] && x.dropsSent || x.brokers[to] && !x.brokers[from] && x.dropsReceived {
			return true
		}
	}
	return false
}

// Partition keeps the agreement's links between some brokers and all others from carrying: what these say, what they hear, or both. The
// returned function mends it.
func (r *Fleet) Partition(says, hears bool, brokers ...int) (mend func()) {
	x := &partition{brokers: map[int]bool{}, dropsSent: says, dropsReceived: hears}
	for _, b := range brokers {
		x.brokers[b] = true
	}
	p := &r.partitions
	p.mu.Lock()
	p.active = append(p.active, x)
	p.mu.Unlock()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		p.active = slices.DeleteFunc(p.active, func(y *partition) bool { return x == y })
		p.changed.Broadcast()
		p.mu.Unlock()
	})
}

// agreementRelay stands for a broker towards others: connections to it come here and are carried on, as long as nothing parts the two.
func (r *Fleet) listenAgreementRelay(to int) (net.Listener, error) {
	ln, err := net.Listen("tcp4", r.address(50, to, 7003))
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.relayConnection(conn, r.brokerAt(conn.RemoteAddr()), to)
		}
	}()
	return ln, nil
}

func (r *Fleet) relayConnection(conn net.Conn, from, to int) {
	defer func() { _ = conn.Close() }()
	if from < 0 {
		return
	}
	far, err := net.DialTimeout("tcp4", r.address(1, to, 7003), time.Second)
	if err != nil {
		return
	}
	p := &r.partitions
	p.mu.Lock()
	over := p.closed
	p.conns[conn], p.conns[far] = true, true
	p.mu.Unlock()
	if over {
		_ = conn.Close()
		_ = far.Close()
	}
	var wait sync.WaitGroup
	pump := func(src, dst net.Conn, a, b int) {
		defer func() { _ = src.Close() }()
		defer func() { _ = dst.Close() }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if err != nil {
				return
			}
			p.mu.Lock()
			parted := p.blocked(a, b)
			for p.blocked(a, b) && !p.closed {
				p.changed.Wait()
			}
			p.mu.Unlock()
			if parted { // what stood on it was lost: the connection is over
				return
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	wait.Go(func() { pump(conn, far, from, to) })
	wait.Go(func() { pump(far, conn, to, from) })
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, far)
	p.mu.Unlock()
}

func (p *partitions) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	if p.changed != nil {
		p.changed.Broadcast()
	}
}

// AgreementCall asks a broker's console, and returns its answer without the last line.
func (r *Fleet) AgreementCall(broker int, call string) (string, error) {
	text, err := console.Call(r.address(1, broker, 7001), "agree "+call, 10*time.Second)
	return strings.TrimSuffix(strings.TrimSpace(string(text)), "\nEOT"), err
}

// agreeStatus is what a broker says of itself.
func (r *Fleet) agreementStatus(broker int) (s agreement.Status, err error) {
	text, err := r.AgreementCall(broker, "status")
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	return s, err
}

// AwaitStatus asks a broker for its status until it is as wanted.
func (r *Fleet) AwaitStatus(ctx context.Context, broker int, is func(agreement.Status) bool) (agreement.Status, error) {
	for {
		s, err := r.agreementStatus(broker)
		if err == nil && is(s) {
			return s, nil
		}
		if ctx.Err() != nil {
			return s, fmt.Errorf("broker-%d never came to be so: %+v, %s", broker, s, fmt.Sprint(err)) // nil for an answer that was not the wanted one
		}
		r.sleep(ctx, 20*time.Millisecond)
	}
}

// Leader is the number of the broker that leads, once one does and all brokers have a lease.
func (r *Fleet) Leader(ctx context.Context) (int, error) {
	for ctx.Err() == nil {
		for i := range r.scenario.Agreement.Voters {
			if s, err := r.agreementStatus(i); err == nil && s.Role == "leader" && !s.Restricted {
				return i, nil
			}
		}
		r.sleep(ctx, 20*time.Millisecond)
	}
	return -1, fmt.Errorf("nobody leads")
}

// controls tells whether a broker is a process for control.
func (r *Fleet) isDedicatedVoter(number int) bool {
	return r.scenario.Agreement.DedicatedVoters && number < r.scenario.Agreement.Voters
}

// AgreementReport is what a run's agreement came to.
type AgreementReport struct {
	Conflict
	ProposalOutcomes map[string]int `json:"ends"`                // of proposals: "" for taken
	MeanBytesPerS    float64        `json:"bytes_a_second"`      // sent by a broker, in the mean
	MaxBytesPerS     float64        `json:"most_bytes_a_second"` // and by the one that sent most
	MemoryMB         float64        `json:"memory_mb"`           // resident, in the mean
}

// changes proposes, now and then, until the traffic ends.
func (r *Fleet) proposeChanges(ctx context.Context, until time.Duration) map[string]int {
	ends := map[string]int{}
	random := rand.New(rand.NewPCG(r.scenario.Seed, 4242))
	for n := 0; ctx.Err() == nil; n++ {
		next := r.recorder.startedAt + time.Duration(float64(n+1)*r.scenario.Agreement.ChangeIntervalS*float64(time.Second))
		if next >= until {
			break
		}
		r.sleep(ctx, next-Now())
		broker := random.IntN(len(r.brokers))
		if r.brokers[broker].isDown() {
			ends["broker down"]++
			continue
		}
		s, err := r.agreementStatus(broker)
		text := ""
		if err == nil {
			text, err = r.AgreementCall(broker, fmt.Sprintf(`propose {"expected":%d,"author":"rig","reason":"change %d","changes":[{"key":"class.lesson-read.repeat","value":%q}]}`, s.Version, n, []string{"yes", "no"}[(s.Version+1)%2]))
		}
		var answer struct{ Kind string }
		if err == nil {
			err = json.Unmarshal([]byte(text), &answer)
		}
		if err != nil {
			answer.Kind = "broker down"
		}
		ends[answer.Kind]++
	}
	return ends
}

// spent sums up what agreeing cost the brokers.
func (rep *AgreementReport) addCosts(costs []Cost) {
	for _, c := range costs {
		rep.MeanBytesPerS += c.Sent / float64(len(costs))
		rep.MaxBytesPerS = max(rep.MaxBytesPerS, c.Sent)
		rep.MemoryMB += c.MemoryMB / float64(len(costs))
	}
}

// span is for how long a process acted on one view.
type viewSpan struct {
	process                   string
	from, to                  time.Duration
	epoch, version, preparing uint64
	restricted                bool
}

// Conflict is the longest time from when somebody acted on a version to when somebody still acted on another that it contradicts.
type Conflict struct {
	LongestUS int64  `json:"longest_us"`
	Trace     string `json:"story,omitempty"`
	Versions  int    `json:"versions"`
	Spans     int    `json:"spans"`
	// From a version's commit to the last broker with a lease that acts on it, in µs, shortest first.
	CommitToAllUS []int64 `json:"commit_to_all_us"`
}

// spans reads who acted on what from the journal. A view's last moment is the last turn before the next one began: a process that was
// stopped took no decision meanwhile.
func (r *Fleet) viewSpans() []viewSpan {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	last := map[string]*viewSpan{}
	var all []*viewSpan
	lines := slices.Clone(r.recorder.logs)
	slices.SortStableFunc(lines, func(a, b LogLine) int { return cmp.Compare(a.At, b.At) })
	number := func(l LogLine, key string) uint64 {
		n, err := strconv.ParseFloat(l.Attributes[key], 64)
		if err != nil {
			return 0
		}
		return uint64(n)
	}
	for _, l := range lines {
		old := last[l.Process]
		switch l.Message {
		case "killed":
			if old != nil {
				old.to = l.At
				delete(last, l.Process)
			}
		case "acts":
			if old != nil {
				old.to = max(old.from, l.At-time.Duration(number(l, "before_us"))*time.Microsecond)
			}
			s := &viewSpan{process: l.Process, from: l.At, to: math.MaxInt64, epoch: number(l, "epoch"), version: number(l, "version"), preparing: number(l, "preparing"),
				restricted: l.Attributes["restricted"] == "true"}
			last[l.Process] = s
			all = append(all, s)
		}
	}
	end := Now() - r.recorder.startedAt
	spans := make([]viewSpan, 0, len(all))
	for _, s := range all {
		s.to = min(s.to, end)
		spans = append(spans, *s)
	}
	return spans
}

// LongestConflict looks over all processes' journals.
func (r *Fleet) LongestConflict() Conflict {
	spans := r.viewSpans()
	c := Conflict{Spans: len(spans)}
	type at struct{ epoch, version uint64 }
	first := map[at]time.Duration{} // somebody acted on this version, or a later one of its epoch
	began := map[uint64]time.Duration{}
	for _, s := range spans {
		if s.restricted || s.version == 0 {
			continue
		}
		if t, known := began[s.epoch]; !known || s.from < t {
			began[s.epoch] = s.from
		}
		key := at{s.epoch, s.version}
		if t, known := first[key]; !known || s.from < t {
			first[key] = s.from
		}
	}
	c.Versions = len(first)
	for _, s := range spans {
		if s.restricted || s.version == 0 {
			continue
		}
		for key, t := range first {
			later := key.epoch == s.epoch && key.version > s.version && s.preparing != key.version ||
				key.epoch != s.epoch && began[key.epoch] > began[s.epoch]
			if over := s.to - t; later && over.Microseconds() > c.LongestUS {
				c.LongestUS = over.Microseconds()
				c.Trace = fmt.Sprintf("seed %d: %s acted on version %d (preparing %d) until %.4f s, version %d was acted on from %.4f s on", r.recorder.seed, s.process, s.version,
					s.preparing, s.to.Seconds(), key.version, t.Seconds())
			}
		}
	}
	committed := map[uint64]time.Duration{}
	for _, l := range r.LogLines("version in force") {
		v, err := strconv.ParseFloat(l.Attributes["version"], 64)
		if t, known := committed[uint64(v)]; err == nil && (!known || l.At < t) {
			committed[uint64(v)] = l.At
		}
	}
	for v, t := range committed {
		latest := time.Duration(0)
		before := map[string]viewSpan{}
		for _, s := range spans { // the span in which each broker came to it that held a lease meanwhile
			old, known := before[s.process]
			before[s.process] = s
			if known && !old.restricted && !s.restricted && old.version < v && s.version >= v && s.from >= t {
				latest = max(latest, s.from-t)
			}
		}
		if latest > 0 {
			c.CommitToAllUS = append(c.CommitToAllUS, latest.Microseconds())
		}
	}
	slices.Sort(c.CommitToAllUS)
	return c
}
