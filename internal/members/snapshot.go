package members

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"junctionwharf/broker"
	"junctionwharf/membership"
)

// A snapshot is a line "junctionwharf nodes 1 CHECKSUM BYTES" and then JSON. The checksum is XXH64 of the JSON.
const (
	snapshotHead = "junctionwharf nodes 1"
	snapshotMost = 64 << 20
	writeEvery   = 2 * time.Second
)

// savedNode is a node as the snapshot holds it. The tags are the names in files of earlier releases.
type savedNode struct {
	Name     string  `json:"Name"`
	Address  string  `json:"Address"`
	Zone     string  `json:"Zone"`
	Kind     string  `json:"Kind"`
	Shard    int     `json:"Shard"`
	State    int     `json:"State"`
	Share    float64 `json:"Share"`
	Part     float64 `json:"Part"`
	Priority int     `json:"Priority"`
	Born     int64   `json:"Born"`   // on the clock of the process that wrote it: BornMS counts
	BornMS   int64   `json:"BornMS"` // Unix time; 0 for long ago
}

func savedOf(e membership.Entry, startedMS int64) savedNode {
	return savedNode{
		Name:     e.Name,
		Address:  e.Address,
		Zone:     e.Zone,
		Kind:     e.Kind,
		Shard:    e.Shard,
		State:    int(e.State),
		Share:    e.Capacity,
		Part:     e.TrafficWeight,
		Priority: e.Priority,
		Born:     e.LastStart,
		BornMS:   startedMS,
	}
}

func (n savedNode) entry(started broker.Micros) membership.Entry {
	return membership.Entry{
		Name:          n.Name,
		Address:       n.Address,
		Zone:          n.Zone,
		Kind:          n.Kind,
		Shard:         n.Shard,
		State:         membership.Health(n.State),
		Capacity:      n.Share,
		TrafficWeight: n.Part,
		Priority:      n.Priority,
		LastStart:     int64(started),
	}
}

type snapshot struct {
	path  string
	words func() ([]byte, error)
	fail  func(error)

	mu    sync.Mutex
	timer *time.Timer // a write is owed
	over  bool
}

// later has the list written soon, however often it changes.
func (s *snapshot) later() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil && !s.over {
		s.timer = time.AfterFunc(writeEvery, s.write)
	}
}

func (s *snapshot) close() {
	s.mu.Lock()
	owed := s.timer != nil && s.timer.Stop()
	s.over = true
	s.mu.Unlock()
	if owed {
		s.write()
	}
}

func (s *snapshot) write() {
	s.mu.Lock()
	s.timer = nil
	s.mu.Unlock()
	body, err := s.words()
	if err == nil {
		err = writeSnapshot(s.path, body)
	}
	if err != nil {
		s.fail(err)
	}
}

// writeSnapshot replaces the file whole or not at all.
func writeSnapshot(path string, body []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintf(f, "%s %016x %d\n", snapshotHead, xxhash.Sum64(body), len(body))
	if err == nil {
		_, err = f.Write(body)
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

func readSnapshot(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > snapshotMost {
		return nil, fmt.Errorf("%s: over %d bytes", path, snapshotMost)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	head, body, found := strings.Cut(string(text), "\n")
	rest, is := strings.CutPrefix(head, snapshotHead+" ")
	var sum uint64
	var size int
	if _, err := fmt.Sscanf(rest, "%x %d", &sum, &size); err != nil || !found || !is {
		return nil, fmt.Errorf("%s: line 1: not %q, a checksum and a size", path, snapshotHead)
	}
	if len(body) != size || xxhash.Sum64String(body) != sum {
		return nil, fmt.Errorf("%s: %d bytes of %d, or its checksum is wrong", path, len(body), size)
	}
	return []byte(body), nil
}

// load takes what was held before a restart, which stands until the sources have answered, and keeps it from now on.
func (m *Members) load(now int64, path string) {
	m.snapshot = &snapshot{path: path, words: m.saved, fail: func(err error) { m.log.Warn("snapshot not written", "reason", err) }}
	body, err := readSnapshot(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var nodes []savedNode
	if err == nil {
		err = json.Unmarshal(body, &nodes)
	}
	if err != nil {
		m.log.Warn("snapshot not read", "reason", err)
		return
	}
	var entries []membership.Entry
	for _, n := range nodes {
		entries = append(entries, n.entry(m.clock.FromUnixMilli(n.BornMS)))
	}
	m.tell(m.state.Restore(now, kept, entries))
	m.log.Info("snapshot read", "nodes", len(entries))
}

// saved words the list.
func (m *Members) saved() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes, _ := m.state.List()
	saved := make([]savedNode, 0, len(nodes))
	for _, n := range nodes {
		bornMS := int64(0)
		if n.LastStart > 0 {
			bornMS = time.Now().Add(-(m.clock.Now() - broker.Micros(n.LastStart)).Duration()).UnixMilli()
		}
		saved = append(saved, savedOf(n.Entry, bornMS))
	}
	return json.Marshal(saved)
}
