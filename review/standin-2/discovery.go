package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hostEntry is a node in discovery's list.
type hostEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type hostList struct {
	Seq   uint64      `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []hostEntry `json:"hosts"`
}

// discovery is the agent of discovery: the whole list at once, and a watch that waits for changes.
type discovery struct {
	listener net.Listener
	server   *http.Server
	log      *recorder

	mu      sync.Mutex
	seq     uint64
	hosts   []hostEntry
	changes []change
	changed chan struct{}
}

type change struct {
	seq   uint64
	entry hostEntry
}

func newDiscovery(hosts []hostEntry, log *recorder) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, log: log, seq: 41, hosts: hosts, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", d.answer)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// change updates an entry and tells it to the watches.
func (d *discovery) change(entry hostEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.changes = append(d.changes, change{d.seq, entry})
	kept := d.hosts[:0:0]
	for _, host := range d.hosts {
		if host.Host != entry.Host {
			kept = append(kept, host)
		}
	}
	if entry.Health != "DELETED" {
		kept = append(kept, entry)
	}
	d.hosts = kept
	close(d.changed)
	d.changed = make(chan struct{})
	d.log.printf("discovery: %s is %s, seq %d", entry.Host, entry.Health, d.seq)
}

func (d *discovery) list() hostList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return hostList{d.seq, true, append([]hostEntry{}, d.hosts...)}
}

func (d *discovery) answer(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	list := d.list()
	if index := r.URL.Query().Get("index"); index != "" {
		version, _ := strconv.ParseUint(index, 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		list = d.await(r, version, time.Duration(wait)*time.Millisecond)
	}
	text, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(text)
	d.log.printf("discovery: %s -> seq %d whole %v hosts %d after %d ms, err %v, gone %v", r.URL.RequestURI(), list.Seq,
		list.Whole, len(list.Hosts), time.Since(began).Milliseconds(), err, r.Context().Err())
}

// await waits until something is newer than a version.
func (d *discovery) await(r *http.Request, version uint64, wait time.Duration) hostList {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		if d.seq != version {
			list := hostList{Seq: d.seq, Hosts: []hostEntry{}}
			for _, c := range d.changes {
				if c.seq > version {
					list.Hosts = append(list.Hosts, c.entry)
				}
			}
			d.mu.Unlock()
			return list
		}
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return hostList{Seq: version, Hosts: []hostEntry{}}
		case <-r.Context().Done():
			return hostList{Seq: version, Hosts: []hostEntry{}}
		}
	}
}
