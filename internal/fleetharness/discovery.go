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

// Health values of an endpoint in discovery's answers.
const (
	healthServing  = "SERVING"
	healthDraining = "DRAINING"
	healthDeleted  = "DELETED"
)

const (
	discoveryPort = 8500
	// maxPollMS is the upper bound of a long poll in milliseconds. A broker's longer wait is reduced to it.
	maxPollMS = 60_000
	// noBroker replaces a broker's number for a list that is not sent to a broker.
	noBroker = -1
)

// listedEndpoint is the state of an endpoint as published with a version.
type listedEndpoint struct {
	fakes.Endpoint
	version uint64
}

// endpointList is the wire form of discovery's answer.
type endpointList struct {
	Version   uint64           `json:"seq"`
	Full      bool             `json:"whole"` // if false, Endpoints holds only entries newer than the requested version
	Endpoints []fakes.Endpoint `json:"hosts"`
}

// fakeDiscovery is a fake discovery service with a separate view for each broker.
type fakeDiscovery struct {
	fleet   *Fleet
	address string
	server  *http.Server

	mu              sync.Mutex // guards the fields below
	version         uint64
	entries         []listedEndpoint                 // all entries of all versions, oldest first
	changed         chan struct{}                    // closed and replaced at each change
	views           map[int]discoveryView            // faulty views by broker
	publishedAt     []time.Duration                  // times of publication; version 1 is at index 0
	drainNotifiedAt map[string]map[int]time.Duration // by node and broker: when the broker was notified of the drain
	calls           int
	firstList       []byte // initial list; nil until requested
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
	go func() { _ = d.server.Serve(listener) }() // ends with Fleet.Close, and returns the error of the closed server
	return d, nil
}

// newDiscoveryState returns a fake discovery service that does not listen.
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

// entry returns the entry that lists a node at a version.
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

// publishHealth publishes a new version in which a node has the given health.
func (d *fakeDiscovery) publishHealth(n *fakeNode, health string) {
	d.publish(d.entry(n, health, 0))
}

// publish adds a version with the given entries and notifies all brokers.
func (d *fakeDiscovery) publish(entries ...listedEndpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addVersion(entries)
	d.wake()
}

// addVersion adds a new version with the given entries. The caller must hold d.mu.
func (d *fakeDiscovery) addVersion(entries []listedEndpoint) {
	d.version++
	d.publishedAt = append(d.publishedAt, Now())
	for _, entry := range entries {
		entry.version = d.version
		d.entries = append(d.entries, entry)
	}
}

// wake makes all pending polls check for newer versions. The caller must hold d.mu.
func (d *fakeDiscovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// entriesAt returns the list as of a version. The caller must hold d.mu.
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

// drainNotified returns when a broker was notified that a node is draining, or 0 if it was not notified.
func (d *fakeDiscovery) drainNotified(node string, broker int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainNotifiedAt[node][broker]
}

// serveList answers with the full list. If the broker sends a version, it waits for newer entries and answers with
// them.
func (d *fakeDiscovery) serveList(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr) // the address of a TCP connection always has a port
	broker := d.fleet.brokerAt(&net.TCPAddr{IP: net.ParseIP(host)})
	since, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait")) // if missing, the answer is immediate
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
			_, _ = w.Write(poll.text) // fails if the broker has disconnected
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

// pollResult is the answer to a poll, or the channels to wait on if there is no answer yet.
type pollResult struct {
	text        []byte // nil: no answer yet
	unavailable bool
	changed     <-chan struct{}
	nextVersion <-chan time.Time // nil if no delayed version is due
}

// poll returns the current answer for a broker. A watch has no answer until there is a newer version or it times out.
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

// list returns the list up to version, or for a watch the entries newer than since. The caller must hold d.mu. At the
// start hundreds of brokers request the same full list at once, so that list is encoded only once.
func (d *fakeDiscovery) list(broker int, since, version uint64, watch bool) []byte {
	if d.version > 1 || len(d.views) > 0 || watch {
		return d.encodeList(broker, since, version, watch)
	}
	if d.firstList == nil {
		d.firstList = d.encodeList(broker, 0, version, false)
	}
	return d.firstList
}

// encodeList encodes the list and records the drains of which it notifies the broker. The caller must hold d.mu.
func (d *fakeDiscovery) encodeList(broker int, since, version uint64, watch bool) []byte {
	view := d.views[broker]
	list := endpointList{
		Version:   version,
		Full:      !watch || view.empty,
		Endpoints: []fakes.Endpoint{}, // encodes as [] and not null if empty
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
	text, _ := json.Marshal(list) // strings and numbers cannot fail to encode
	return text
}

// recordNotified records when a broker was first notified that a node is draining. The caller must hold d.mu.
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

// currentList returns the current full list, which a restarted broker receives as its last known list.
func (d *fakeDiscovery) currentList() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(noBroker, 0, d.version, false)
}
