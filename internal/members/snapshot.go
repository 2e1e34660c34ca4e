package members

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"junctionwharf/broker"
	"junctionwharf/membership"
)

// A snapshot is a line "junctionwharf nodes 1 CHECKSUM BYTES", followed by BYTES of JSON. The checksum is the XXH64 of
// the JSON.
const (
	// snapshotHeader identifies the format and its version, 1.
	snapshotHeader = "junctionwharf nodes 1"
	// maxSnapshotBytes is 64 MiB, several times the size of the largest list. If it were higher, a file of another kind
	// could fill the memory.
	maxSnapshotBytes = 64 << 20
	// snapshotInterval is the time between the first change since the last write and the next write of the file: 2 s.
	// If it were lower, a list that changes constantly would keep the disk busy. If it were higher, a broker that
	// crashes would restart from an older list.
	snapshotInterval = 2 * time.Second
)

// SnapshotError reports a snapshot that is too large, truncated, damaged, or of another format or version.
type SnapshotError struct {
	Path   string
	Reason string
}

func (e *SnapshotError) Error() string { return e.Path + ": " + e.Reason }

// savedNode is a node in the snapshot. The struct tags are the names in the file, which earlier releases use, too.
type savedNode struct {
	Name          string  `json:"Name"`
	Address       string  `json:"Address"`
	Zone          string  `json:"Zone"`
	Kind          string  `json:"Kind"`
	Shard         int     `json:"Shard"`
	State         int     `json:"State"`
	Capacity      float64 `json:"Share"`
	TrafficWeight float64 `json:"Part"`
	Priority      int     `json:"Priority"`
	LastStart     int64   `json:"Born"`   // on the clock of the process that wrote the file; not read: see StartedAtMS
	StartedAtMS   int64   `json:"BornMS"` // Unix time in milliseconds; 0 for long ago
}

func saveEntry(e membership.Entry, startedAtMS int64) savedNode {
	return savedNode{
		Name:          e.Name,
		Address:       e.Address,
		Zone:          e.Zone,
		Kind:          e.Kind,
		Shard:         e.Shard,
		State:         int(e.State),
		Capacity:      e.Capacity,
		TrafficWeight: e.TrafficWeight,
		Priority:      e.Priority,
		LastStart:     e.LastStart,
		StartedAtMS:   startedAtMS,
	}
}

func (n savedNode) entry(lastStart broker.Micros) membership.Entry {
	return membership.Entry{
		Name:          n.Name,
		Address:       n.Address,
		Zone:          n.Zone,
		Kind:          n.Kind,
		Shard:         n.Shard,
		State:         membership.NodeState(n.State),
		Capacity:      n.Capacity,
		TrafficWeight: n.TrafficWeight,
		Priority:      n.Priority,
		LastStart:     int64(lastStart),
	}
}

// snapshotWriter writes the snapshot some time after a change. Each write runs on the goroutine of a timer, which ends
// with the write. close does not wait for such a write in progress.
type snapshotWriter struct {
	path   string
	encode func() ([]byte, error)
	log    *slog.Logger

	mu     sync.Mutex
	timer  *time.Timer // not nil while a write is pending
	closed bool
}

// writeSoon schedules a write, unless one is already pending.
func (w *snapshotWriter) writeSoon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil && !w.closed {
		w.timer = time.AfterFunc(snapshotInterval, w.write)
	}
}

// close performs the pending write, if any, and prevents that further writes are scheduled.
func (w *snapshotWriter) close() {
	w.mu.Lock()
	pending := w.timer != nil && w.timer.Stop()
	w.closed = true
	w.mu.Unlock()
	if pending {
		w.write()
	}
}

func (w *snapshotWriter) write() {
	w.mu.Lock()
	w.timer = nil
	w.mu.Unlock()
	body, err := w.encode()
	if err == nil {
		err = writeSnapshot(w.path, body)
	}
	if err != nil {
		w.log.Warn("snapshot not written", "reason", err)
	}
}

// writeSnapshot replaces the file atomically. Otherwise a crash or a full disk during the write could leave a part of
// the list for the next start.
func writeSnapshot(path string, body []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // has no effect after the rename
	_, err = fmt.Fprintf(f, "%s %016x %d\n", snapshotHeader, xxhash.Sum64(body), len(body))
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

// readSnapshot returns the JSON of an intact snapshot. It returns a *SnapshotError for a file with any other content.
func readSnapshot(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxSnapshotBytes {
		return nil, &SnapshotError{path, fmt.Sprintf("larger than %d bytes", maxSnapshotBytes)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	header, body, found := strings.Cut(string(text), "\n")
	fields, isSnapshot := strings.CutPrefix(header, snapshotHeader+" ")
	var sum uint64
	var size int
	if _, err := fmt.Sscanf(fields, "%x %d", &sum, &size); err != nil || !found || !isSnapshot {
		return nil, &SnapshotError{path, fmt.Sprintf("line 1: want %q, a checksum and a size", snapshotHeader)}
	}
	if len(body) != size || xxhash.Sum64String(body) != sum {
		return nil, &SnapshotError{path, fmt.Sprintf("damaged: %d of %d bytes, or a wrong checksum", len(body), size)}
	}
	return []byte(body), nil
}

// loadSnapshot restores the list from before a restart, and prepares to write the file after changes. The restored
// nodes stay listed until all sources have answered. If the file is unusable, the reason is logged, and the file is
// replaced after the next change.
func (m *Members) loadSnapshot(now int64, path string) {
	m.snapshot = &snapshotWriter{path: path, encode: m.encodeSnapshot, log: m.log}
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
		entries = append(entries, n.entry(m.clock.FromUnixMilli(n.StartedAtMS)))
	}
	m.announce(m.state.Restore(now, sourceSnapshot, entries))
	m.log.Info("snapshot read", "nodes", len(entries))
}

// encodeSnapshot encodes the current list.
func (m *Members) encodeSnapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes, _ := m.state.List()
	saved := make([]savedNode, 0, len(nodes))
	for _, n := range nodes {
		startedAtMS := int64(0)
		if n.LastStart > 0 {
			age := m.clock.Now() - broker.Micros(n.LastStart)
			startedAtMS = time.Now().Add(-age.Duration()).UnixMilli()
		}
		saved = append(saved, saveEntry(n.Entry, startedAtMS))
	}
	return json.Marshal(saved)
}
