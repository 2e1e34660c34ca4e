// Package discovery follows the list of storage nodes by HTTP long poll.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// EndpointList is what discovery answers: the whole list, or changed entries. The tags are its keys in a handover's message, between two
// versions of the program; discovery's own keys are ParseList's.
type EndpointList struct {
	Version   uint64     `json:"Seq"`
	Full      bool       `json:"Whole"`
	Endpoints []Endpoint `json:"Hosts"`
}

// Name is an entry of a EndpointList.
type Endpoint struct {
	Name    string `json:"Host"`
	Address string `json:"Dial"`
	Zone    string `json:"Site"`
	Kind    string `json:"Class"`

	Shard       int                 `json:"Block"`
	State       scheduler.NodeState `json:"State"`
	Weight      float64             `json:"Share"`
	StartedAtMS int64               `json:"BornMS"`
}

var states = map[string]scheduler.NodeState{
	"SERVING": scheduler.Ready, "DRAINING": scheduler.Draining, "DELETED": scheduler.Removed,
}

// ParseList reads a list's JSON.
func ParseList(text []byte) (*EndpointList, error) {
	var raw struct {
		Seq   uint64 `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []struct {
			Host   string  `json:"host"`
			Dial   string  `json:"dial"`
			Site   string  `json:"site"`
			Class  string  `json:"class"`
			Block  int     `json:"block"`
			Health string  `json:"health"`
			Share  float64 `json:"share"`
			BornMS float64 `json:"born_ms"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	list := &EndpointList{Version: raw.Seq, Full: raw.Whole}
	for i, h := range raw.Hosts {
		state, known := states[h.Health]
		if !known || h.Host == "" {
			return nil, fmt.Errorf("hosts[%d]: host %q has health %q", i, h.Host, h.Health)
		}
		list.Endpoints = append(list.Endpoints, Endpoint{Name: h.Host, Address: h.Dial, Zone: h.Site, Kind: h.Class,
			Shard: h.Block, State: state, Weight: h.Share, StartedAtMS: int64(h.BornMS)})
	}
	return list, nil
}

// Event turns a list into the core's event.
func (l *EndpointList) Event(kind scheduler.UpdateKind, clock *broker.Clock) broker.NodesListed {
	event := broker.NodesListed{Kind: kind, Version: l.Version}
	for _, h := range l.Endpoints {
		event.Nodes = append(event.Nodes, broker.Node{
			Endpoint: scheduler.Endpoint{Name: h.Name, Zone: h.Zone, Kind: h.Kind, Shard: h.Shard, State: h.State, Weight: h.Weight},
			Address:  h.Address, LastStart: clock.FromUnixMilli(h.StartedAtMS)})
	}
	return event
}

const (
	holdLeast = 5 * time.Second // how long a call may wait for news
	holdEach  = time.Second / 2 // for each broker of the tier: calls add up
	holdMost  = 20 * time.Second
	again     = 50 * time.Millisecond // the first wait after a failed call
	behind    = 10 * time.Second      // for so long a list older than the one held is not believed
	maxList   = 4 << 20               // bytes of an answer
	dialTime  = time.Second

	// A service that all brokers ask together is overbooked now and then, and is given time.
	slackAsked = 2500 * time.Millisecond
	againAsked = 3 * time.Second

	// Whatever became of the calls before, a change counts as told so long after the service had it and could be reached.
	toldAfter = 6 * time.Second
	spreadOf  = 1.5 // the longest pause after a failed call, against its mean
)

// Options says whom a Watcher works for.
type Options struct {
	Brokers       int           // of the tier
	DrainGrace    time.Duration // within which sends to a node end that is told to drain; 0 for none
	SharedService bool          // lists must be asked for, at a service that all brokers share; else an agent on this machine has them
	Local         net.IP        // from which calls are made, nil for the system's choice
	Log           *slog.Logger  // gets a line when the service falls silent and when it is back
}

// patience is how long a Watcher waits before it takes silence for loss.
type patience struct {
	hold   time.Duration // how long a call may wait for news
	answer time.Duration // for an answer, beyond that time
	again  time.Duration // the longest mean wait after a failed call; it is drawn from half of that up to one and a half
}

// patience guards the rule on drains. What the agent has counts as told, whether or not it says so: all that it got while it was
// silent from the moment of its return, and what a call that fell silent misses 2 s after that call's wait was over. So a lost
// call, the pause behind it and the next one together stay within the grace. For any service, a call that was begun too soon and is
// lost, the pause, another lost call, its pause and the answer that comes stay within toldAfter and the grace, and so does a call
// that waits for news in vain, with the pause and the answer behind it.
func (o Options) patience() patience {
	hold := max(holdLeast, min(time.Duration(o.Brokers)*holdEach, holdMost))
	within := toldAfter + o.DrainGrace
	most := time.Duration(float64(within) / (3 + 2*spreadOf) * toldMargin)
	p := patience{answer: min(slackAsked, most), again: min(againAsked, most)}
	if !o.SharedService && o.DrainGrace > 0 {
		p.answer, p.again = min(p.answer, o.DrainGrace/3), min(p.again, o.DrainGrace/4)
	}
	p.hold = min(hold, within-2*p.answer-time.Duration(spreadOf*float64(p.again))-holdMargin)
	return p
}

const (
	toldMargin = 0.9                    // of the time for what else takes some
	holdMargin = 300 * time.Millisecond // the same behind a call that waited in vain
)

// Watcher follows discovery.
type Watcher struct {
	address string
	moves   chan string // the latest address to move to
	client  *http.Client
	log     *slog.Logger
	waits   atomic.Pointer[patience]
	held    uint64    // version of the list posted last
	heldAt  time.Time // when it was last confirmed

	mu    sync.Mutex
	whole EndpointList // what the lists so far come to
}

// NewWatcher returns a watcher of the service at address.
func NewWatcher(address string, opt Options) *Watcher {
	dialer := net.Dialer{Timeout: dialTime}
	if opt.Local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: opt.Local}
	}
	transport := &http.Transport{DialContext: dialer.DialContext,
		MaxIdleConns: 1, MaxConnsPerHost: 2, DisableCompression: true}
	w := &Watcher{address: address, moves: make(chan string, 1), client: &http.Client{Transport: transport}, log: opt.Log}
	w.UpdateOptions(opt)
	return w
}

// UpdateOptions has the next call keep to another grace.
func (w *Watcher) UpdateOptions(opt Options) {
	p := opt.patience()
	w.waits.Store(&p)
}

// Resume has the watch go on from a list that was held before. It comes before Run.
func (w *Watcher) Resume(list *EndpointList) {
	w.held, w.heldAt = list.Version, time.Now()
	w.add(list)
}

// Current returns the whole list as it is now, nil before there is one.
func (w *Watcher) Current() *EndpointList {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.whole.Full {
		return nil
	}
	held := w.whole
	held.Endpoints = slices.Clone(held.Endpoints)
	return &held
}

// add brings the whole list up to date.
func (w *Watcher) add(news *EndpointList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if news.Full {
		w.whole.Endpoints, w.whole.Full = nil, true
	}
	w.whole.Version = news.Version
	for _, h := range news.Endpoints {
		w.whole.Endpoints = slices.DeleteFunc(w.whole.Endpoints, func(old Endpoint) bool { return old.Name == h.Name })
		if h.State != scheduler.Removed {
			w.whole.Endpoints = append(w.whole.Endpoints, h)
		}
	}
}

// SetAddress has the watch go on at another address, at once. It is for one caller at a time.
func (w *Watcher) SetAddress(address string) {
	select {
	case <-w.moves:
	default:
	}
	w.moves <- address
}

// Run posts each list until ctx ends. After a lost call or a move it asks for the whole list anew.
func (w *Watcher) Run(ctx context.Context, clock *broker.Clock, post func(broker.Event)) {
	for ctx.Err() == nil {
		leg, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			w.watch(leg, clock, post)
		}()
		next := w.address
		select {
		case <-ctx.Done():
		case next = <-w.moves:
		}
		leave()
		<-left
		w.address = next
		w.client.CloseIdleConnections()
	}
}

// order guards against a service that is behind the one asked before: its list would bring back nodes that are
// known to drain. A list that stays older for long is of a new count and taken.
func (w *Watcher) order(list *EndpointList) error {
	now := time.Now()
	if list.Version < w.held && (!list.Full || now.Sub(w.heldAt) < behind) {
		return fmt.Errorf("list %d is older than %d, which is held", list.Version, w.held)
	}
	w.held, w.heldAt = list.Version, now
	return nil
}

// leavers are the entries of a list that is not believed which name nodes as draining or gone that are held as serving. They
// count all the same: it may be of a new count, and a node that is spared for a while costs less than a broken drain.
func (w *Watcher) leavers(list *EndpointList) *EndpointList {
	w.mu.Lock()
	defer w.mu.Unlock()
	news := &EndpointList{Version: w.whole.Version}
	for _, h := range list.Endpoints {
		at := slices.IndexFunc(w.whole.Endpoints, func(held Endpoint) bool { return held.Name == h.Name })
		if h.State != scheduler.Ready && at >= 0 && w.whole.Endpoints[at].State == scheduler.Ready {
			leaver := w.whole.Endpoints[at]
			leaver.State = scheduler.Draining
			news.Endpoints = append(news.Endpoints, leaver)
		}
	}
	return news
}

// watch follows one address until ctx ends.
func (w *Watcher) watch(ctx context.Context, clock *broker.Clock, post func(broker.Event)) {
	seq, whole, silent := uint64(0), true, false
	wait := again
	for {
		list, err := w.call(ctx, seq, whole)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if err = w.order(list); err != nil {
				w.take(w.leavers(list), clock, post)
			}
		}
		if err != nil {
			if !silent {
				w.log.Warn("discovery silent", "reason", err)
			}
			// An overbooked service has the version still; any other failure may have lost it.
			silent, whole = true, whole || !errors.Is(err, errStatus)
			select {
			case <-ctx.Done():
			case <-time.After(wait/2 + rand.N(wait)):
			}
			wait = min(2*wait, w.waits.Load().again)
			continue
		}
		wait = again
		if silent {
			w.log.Info("discovery back")
		}
		silent, whole, seq = false, false, list.Version
		w.take(list, clock, post)
	}
}

// take adds a list to what is held and posts it, unless it says nothing.
func (w *Watcher) take(list *EndpointList, clock *broker.Clock, post func(broker.Event)) {
	w.add(list)
	if list.Full {
		post(list.Event(scheduler.FullUpdate, clock))
	} else if len(list.Endpoints) > 0 {
		post(list.Event(scheduler.DeltaUpdate, clock))
	}
}

var errStatus = errors.New("status")

func (w *Watcher) call(ctx context.Context, seq uint64, whole bool) (*EndpointList, error) {
	waits := w.waits.Load()
	url, wait := "http://"+w.address+"/registry/instances", waits.answer
	if !whole {
		url = fmt.Sprintf("%s?index=%d&wait=%d", url, seq, waits.hold.Milliseconds())
		wait += waits.hold
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxList))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w %d", errStatus, response.StatusCode)
	}
	return ParseList(body)
}
