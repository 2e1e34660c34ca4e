package consensus

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
)

const testID = 9

func newTestID() uint64 { return testID }

func testEntry(index, term uint64, data string) *pb.Entry {
	return &pb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

func testHardState(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func createDisk(t *testing.T, path string) *DiskStorage {
	t.Helper()
	d, _, err := OpenDisk(path, newTestID)
	if err != nil {
		t.Fatal(err)
	}
	if d.isBootstrapped(t) {
		t.Fatal("a new file is bootstrapped")
	}
	if err := Bootstrap(d, 77, map[string]uint64{"v": testID}); err != nil {
		t.Fatal(err)
	}
	return d
}

func reopenDisk(t *testing.T, path string) *DiskStorage {
	t.Helper()
	d, id, err := OpenDisk(path, func() uint64 { return testID + 1 })
	if err != nil {
		t.Fatal(err)
	}
	if id != testID || !d.isBootstrapped(t) {
		t.Fatalf("reopened file: id %d, bootstrapped %v; want %d and true", id, d.isBootstrapped(t), testID)
	}
	return d
}

func (d *DiskStorage) isBootstrapped(t *testing.T) bool {
	t.Helper()
	snapshot, err := d.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return hasSnapshot(snapshot)
}

// content returns the hard state and the entries of a storage as text.
func (d *DiskStorage) content(t *testing.T) string {
	t.Helper()
	hard, _, errState := d.InitialState()
	last, errLast := d.LastIndex()
	entries, errEntries := d.Entries(bootstrapIndex+1, last+1, 1<<20)
	if err := errors.Join(errState, errLast, errEntries); err != nil {
		t.Fatal(err)
	}
	text := hard.String()
	for _, e := range entries {
		text += " " + string(e.Data)
	}
	return text
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// tornWrite describes a change of a file, and is used to write files in which only a part of the change is stored.
type tornWrite struct {
	path          string // of the partly changed files
	before, after []byte // bytes of the file before and after the change
	was, is       string // content of the file before and after the change
}

// newTornWrite returns a change that replaces an entry of an earlier leader.
func newTornWrite(t *testing.T, dir string) *tornWrite {
	t.Helper()
	path := filepath.Join(dir, "a")
	d := createDisk(t, path)
	entries := []*pb.Entry{testEntry(2, 2, "two"), testEntry(3, 2, "three")}
	if err := d.Save(testHardState(2, testID, 1), entries, nil); err != nil {
		t.Fatal(err)
	}
	w := &tornWrite{path: filepath.Join(dir, "b"), before: readFile(t, path), was: d.content(t)}
	if err := d.Save(testHardState(3, testID, 2), []*pb.Entry{testEntry(3, 3, "other")}, nil); err != nil {
		t.Fatal(err)
	}
	w.after, w.is = readFile(t, path), d.content(t)
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if w.was == w.is || len(w.before) != len(w.after) {
		t.Fatalf("content %q before and %q after the change, want different ones; %d and %d bytes, want equal numbers",
			w.was, w.is, len(w.before), len(w.after))
	}
	return w
}

// contentOf writes a file with the given bytes, opens it as a voter does, and returns its content.
func (w *tornWrite) contentOf(t *testing.T, file []byte) string {
	t.Helper()
	if err := os.WriteFile(w.path, file, filePermission); err != nil {
		t.Fatal(err)
	}
	d := reopenDisk(t, w.path)
	defer func() { _ = d.Close() }()
	return d.content(t)
}

// The machine loses power while a transaction is written. bbolt writes the pages of the transaction first, and then the
// meta page that commits them. The write is interrupted after each changed byte, in the order of the file within these
// two groups. Until the meta page is written, the file must have its previous content. After that, it must have either
// its previous content or the complete change.
func TestWriteTornAtEveryByte(t *testing.T) {
	w := newTornWrite(t, t.TempDir())
	const metaPages = 2 * 4096 // size of the two meta pages, one of which is written last and commits the transaction
	torn := bytes.Clone(w.before)
	steps := 0
	for _, span := range [][2]int{{metaPages, len(w.after)}, {0, metaPages}} {
		for i := span[0]; i < span[1]; i++ {
			if torn[i] == w.after[i] {
				continue
			}
			torn[i] = w.after[i]
			steps++
			got := w.contentOf(t, torn)
			if got != w.was && got != w.is || i >= metaPages && got != w.was {
				t.Fatalf("write torn after byte %d: content %q, want %q or, once the meta page is written, %q",
					i, got, w.was, w.is)
			}
		}
	}
	if got := w.contentOf(t, torn); got != w.is || steps < 100 {
		t.Errorf("content after %d steps: %q, want %q after at least 100 steps", steps, got, w.is)
	}
}

// A voter restarts after its log was compacted. It must find the snapshot and the index of the last entry after it.
func TestCompactedFileReopens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a")
	d := createDisk(t, path)
	for i := uint64(2); i <= 200; i++ {
		if err := d.Save(testHardState(2, testID, i), []*pb.Entry{testEntry(i, 2, "e")}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Compact(150, &pb.ConfState{Voters: []uint64{testID}}, []byte("state")); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	d = reopenDisk(t, path)
	defer func() { _ = d.Close() }()
	snapshot, err := d.Snapshot()
	if err != nil || snapshot.GetMetadata().GetIndex() != 150 || string(snapshot.GetData()) != "state" {
		t.Errorf(`snapshot %v, error %v; want "state" at index 150`, snapshot, err)
	}
	if last, err := d.LastIndex(); last != 200 || err != nil {
		t.Errorf("last index %d, want 200; error %v", last, err)
	}
}

var errDiskFull = errors.New("no space left")

type fullStorage struct{ MemoryStorage }

func (fullStorage) Save(*pb.HardState, []*pb.Entry, *pb.Snapshot) error { return errDiskFull }

// A voter's disk is full. The voter must not send messages that depend on state that it could not store. It must stop,
// and must neither vote nor grant a lease.
func TestVoterWithFullDiskIsSilent(t *testing.T) {
	storage := fullStorage{bootstrapped(t, map[string]uint64{"a": 1, "b": 2, "c": 3})}
	v, err := New(0, Options{ID: 1, Timing: testTiming, Schema: testSchema}, storage)
	if err != nil {
		t.Fatal(err)
	}
	for now := clusterconfig.Micros(0); now < 5_000_000; now += TickInterval {
		if e := v.Tick(now); len(e.Messages) > 0 && v.Err() != nil {
			t.Fatalf("the stopped voter sent %v", e.Messages)
		}
		term, index := uint64(9), uint64(1)
		kind := pb.MsgVote
		e := v.Step(now, &pb.Message{
			Type:    &kind,
			To:      proto.Uint64(1),
			From:    proto.Uint64(2),
			Term:    &term,
			Index:   &index,
			LogTerm: &index,
		})
		if len(e.Messages) > 0 {
			t.Fatalf("the voter voted without storing its vote: %v", e.Messages)
		}
	}
	if !errors.Is(v.Err(), errDiskFull) {
		t.Errorf("the voter has error %v, want %v", v.Err(), errDiskFull)
	}
	if v.HandleRenewal(0, clusterconfig.Renewal{Holder: "h"}) != nil {
		t.Error("the stopped voter granted a lease")
	}
}
