package fleetharness

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"junctionwharf/internal/fakes"
)

// The health of an endpoint, as discovery spells it.
const (
	healthServing  = "SERVING"
	healthDraining = "DRAINING"
	healthDeleted  = "DELETED"
)

const (
	discoveryPort = 8500
	// maxPollMS bounds a long poll, in milliseconds, whatever the broker asks for.
	maxPollMS = 60_000
	// noBroker stands in place of a broker's number where a list is for none.
	noBroker = -1
)

// listedEndpoint is an endpoint as it was listed at a version.
type listedEndpoint struct {
	fakes.Endpoint
	version uint64
}

// endpointList is discovery's answer, in its wire form.
type endpointList struct {
	Version   uint64           `json:"seq"`
	Full      bool             `json:"whole"` // else what is newer than the version that was asked for
	Endpoints []fakes.Endpoint `json:"hosts"`
}

// fakeDiscovery is a fake of discovery, with a view of its own for each broker.
type fakeDiscovery struct {
	fleet   *Fleet
	address string
	server  *http.Server

	mu              sync.Mutex // guards what follows
	version         uint64
	entries         []listedEndpoint                 // all that ever were, the newest last
	changed         chan struct{}                    // closed and made anew at each change
	views           map[int]discoveryView            // those that are faulty, by broker
	publishedAt     []time.Duration                  // of the versions, from 1 on
	drainNotifiedAt map[string]map[int]time.Duration // by node and broker: when it was notified that the node drains
	calls           int
	firstList       []byte // the list of the start; nil until it was asked for
}

func newDiscovery(f *Fleet) (*fakeDiscovery, error) {
	d := newDiscoveryState(f)
	for _, n := range f.nodes {
		d.entries = append(d.entries, d.entry(n, healthServing, 1))
	}
	d.address = f.address(0, 0, discoveryPort)
	listener, err := net.Listen("tcp4", d.address)
	if err != nil {
		return nil, err
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serveList)}
	go func() { _ = d.server.Serve(listener) }() // ends with Fleet.Close, whose error it returns
	return d, nil
}

// newDiscoveryState is a discovery that does not listen.
func newDiscoveryState(f *Fleet) *fakeDiscovery {
	return &fakeDiscovery{
		fleet:           f,
		version:         1,
		changed:         make(chan struct{}),
		views:           map[int]discoveryView{},
		publishedAt:     []time.Duration{Now()},
		drainNotifiedAt: map[string]map[int]time.Duration{},
	}
}

// entry is a node's entry at a version.
func (d *fakeDiscovery) entry(n *fakeNode, health string, version uint64) listedEndpoint {
	endpoint := fakes.Endpoint{
		Name:    n.name,
		Address: n.address,
		Zone:    zoneName(n.number % d.fleet.scenario.Node.Zones),
		Class:   "m",
		Shard:   n.shard,
		Health:  health,
		Share:   1,
	}
	if n.startedAt > 0 {
		endpoint.StartedMS = time.Now().Add(n.startedAt - Now()).UnixMilli()
	}
	return listedEndpoint{Endpoint: endpoint, version: version}
}

// publishHealth lists nodes with another health, all at one version.
func (d *fakeDiscovery) publishHealth(n *fakeNode, health string) {
	d.publish(d.entry(n, health, 0))
}

// publish lists nodes anew, for all brokers at one time.
func (d *fakeDiscovery) publish(entries ...listedEndpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addVersion(entries)
	d.wake()
}

// addVersion lists entries at a new version; d.mu is held.
func (d *fakeDiscovery) addVersion(entries []listedEndpoint) {
	d.version++
	d.publishedAt = append(d.publishedAt, Now())
	for _, entry := range entries {
		entry.version = d.version
		d.entries = append(d.entries, entry)
	}
}

// wake has all polls look again; d.mu is held.
func (d *fakeDiscovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// entriesAt is the list as it was at a version; d.mu is held.
func (d *fakeDiscovery) entriesAt(version uint64) []listedEndpoint {
	index := map[string]int{}
	var list []listedEndpoint
	for _, entry := range d.entries {
		if entry.version > version {
			continue
		}
		if i, known := index[entry.Name]; known {
			list[i] = entry
			continue
		}
		index[entry.Name] = len(list)
		list = append(list, entry)
	}
	return list
}

// drainNotified is when a broker was notified that a node drains, 0 for never.
func (d *fakeDiscovery) drainNotified(node string, broker int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainNotifiedAt[node][broker]
}

// serveList answers with the full list, or, where the broker names a version, waits for what is newer.
func (d *fakeDiscovery) serveList(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr) // of a TCP connection, which always has a port
	broker := d.fleet.brokerAt(&net.TCPAddr{IP: net.ParseIP(host)})
	since, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait")) // without one the answer comes at once
	timeout := time.NewTimer(time.Duration(min(waitMS, maxPollMS)) * time.Millisecond)
	defer timeout.Stop()
	timedOut := false
	for {
		poll := d.poll(broker, since, watch, timedOut)
		if poll.unavailable {
			http.Error(w, "discovery is down", http.StatusServiceUnavailable)
			return
		}
		if poll.text != nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(poll.text) // a broker that has gone needs no answer
			return
		}
		select {
		case <-poll.changed:
		case <-poll.nextVersion:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// pollResult is what a poll gets now, or what it waits for.
type pollResult struct {
	text        []byte // nil: nothing yet
	unavailable bool
	changed     <-chan struct{}
	nextVersion <-chan time.Time // nil if no version becomes visible by time alone
}

// poll looks what there is for a broker. A watch gets nothing as long as there is nothing newer, unless it has timed
// out.
func (d *fakeDiscovery) poll(broker int, since uint64, watch, timedOut bool) pollResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.views[broker].unavailable {
		return pollResult{unavailable: true}
	}
	version, visibleAt := d.visibleVersion(broker)
	if !watch || timedOut || version > since {
		d.calls++
		return pollResult{text: d.list(broker, since, version, watch)}
	}
	result := pollResult{changed: d.changed}
	if visibleAt > 0 {
		result.nextVersion = time.After(visibleAt - Now())
	}
	return result
}

// list is the list up to a version, or for a watch what is newer than another; d.mu is held. At the start, hundreds of
// brokers ask for the same full list at once: it is encoded once.
func (d *fakeDiscovery) list(broker int, since, version uint64, watch bool) []byte {
	if d.version > 1 || len(d.views) > 0 || watch {
		return d.encodeList(broker, since, version, watch)
	}
	if d.firstList == nil {
		d.firstList = d.encodeList(broker, 0, version, false)
	}
	return d.firstList
}

// encodeList makes that text, and records of which drains the broker is notified; d.mu is held.
func (d *fakeDiscovery) encodeList(broker int, since, version uint64, watch bool) []byte {
	view := d.views[broker]
	list := endpointList{
		Version:   version,
		Full:      !watch || view.empty,
		Endpoints: []fakes.Endpoint{}, // [] and not null where it is empty
	}
	hasNewer := !watch || since < version
	if hasNewer && !view.empty {
		for _, entry := range d.entriesAt(version) {
			if slices.Contains(view.draining, entry.Name) {
				entry.Health = healthDraining
			}
			if watch && entry.version <= since || !watch && entry.Health == healthDeleted {
				continue
			}
			d.recordNotified(entry, broker)
			list.Endpoints = append(list.Endpoints, entry.Endpoint)
		}
	}
	text, _ := json.Marshal(list) // of strings and numbers, which cannot fail
	return text
}

// recordNotified records when a broker was first notified that a node drains; d.mu is held.
func (d *fakeDiscovery) recordNotified(entry listedEndpoint, broker int) {
	if entry.Health == healthServing {
		delete(d.drainNotifiedAt[entry.Name], broker)
		return
	}
	if d.drainNotifiedAt[entry.Name] == nil {
		d.drainNotifiedAt[entry.Name] = map[int]time.Duration{}
	}
	if d.drainNotifiedAt[entry.Name][broker] == 0 {
		d.drainNotifiedAt[entry.Name][broker] = Now()
	}
}

// currentList is the full list, as a restarted broker last held it.
func (d *fakeDiscovery) currentList() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(noBroker, 0, d.version, false)
}
