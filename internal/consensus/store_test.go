package consensus

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
)

func entry(index, term uint64, text string) *pb.Entry {
	return &pb.Entry{Index: &index, Term: &term, Data: []byte(text)}
}

func hard(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func opened(t *testing.T, path string) *Disk {
	t.Helper()
	d, id, err := Open(path, func() uint64 { return 9 })
	if err != nil {
		t.Fatal(err)
	}
	if id != 9 || !d.formed(t) {
		t.Fatalf("id %d, formed %v", id, d.formed(t))
	}
	return d
}

func (d *Disk) formed(t *testing.T) bool {
	snap, err := d.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snap.GetMetadata().GetIndex() > 0
}

// held is what a file holds, as text.
func (d *Disk) held(t *testing.T) string {
	h, _, err := d.InitialState()
	last, err2 := d.LastIndex()
	entries, err3 := d.Entries(2, last+1, 1<<20)
	if err := errors.Join(err, err2, err3); err != nil {
		t.Fatal(err)
	}
	text := h.String()
	for _, e := range entries {
		text += " " + string(e.Data)
	}
	return text
}

// A write that is torn at any byte leaves what was there before, or all of the change: whatever of its pages came to the disk before
// the page that makes it count, and whatever part of that page.
func TestTornAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a")
	d, _, err := Open(path, func() uint64 { return 9 })
	if err != nil || d.formed(t) {
		t.Fatal("formed, or ", err)
	}
	if err := errors.Join(Form(d, 77, map[string]uint64{"v": 9}), d.Save(hard(2, 9, 1), []*pb.Entry{entry(2, 2, "two"), entry(3, 2, "three")}, nil)); err != nil {
		t.Fatal(err)
	}
	read := func() []byte {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	before, was := read(), d.held(t)
	if err := d.Save(hard(3, 9, 2), []*pb.Entry{entry(3, 3, "other")}, nil); err != nil {
		t.Fatal(err)
	}
	after, is := read(), d.held(t)
	d.Close()
	if was == is || len(before) != len(after) {
		t.Fatalf("%q, %q; %d and %d bytes", was, is, len(before), len(after))
	}
	const metaPages = 2 * 4096 // the two pages of which one makes a change count; they are written last
	torn, at := append([]byte(nil), before...), filepath.Join(dir, "b")
	check := func() string {
		if err := os.WriteFile(at, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		d := opened(t, at)
		defer d.Close()
		return d.held(t)
	}
	steps := 0
	for _, span := range [][2]int{{metaPages, len(after)}, {0, metaPages}} {
		for i := span[0]; i < span[1]; i++ {
			if torn[i] == after[i] {
				continue
			}
			torn[i] = after[i]
			steps++
			if got := check(); got != was && got != is || i >= metaPages && got != was {
				t.Fatalf("torn behind byte %d: %q", i, got)
			}
		}
	}
	if got := check(); got != is || steps < 100 {
		t.Errorf("after %d steps: %q, want %q", steps, got, is)
	}
}

// What was cut from the log is found in the snapshot, with what stands behind it.
func TestCompactedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a")
	d, _, err := Open(path, func() uint64 { return 9 })
	if err != nil {
		t.Fatal(err)
	}
	if err := Form(d, 77, map[string]uint64{"v": 9}); err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i <= 200; i++ {
		if err := d.Save(hard(2, 9, i), []*pb.Entry{entry(i, 2, "e")}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Compact(150, &pb.ConfState{Voters: []uint64{9}}, []byte("record")); err != nil {
		t.Fatal(err)
	}
	d.Close()
	d = opened(t, path)
	defer d.Close()
	snap, err := d.Snapshot()
	if err != nil || snap.GetMetadata().GetIndex() != 150 || string(snap.GetData()) != "record" {
		t.Errorf("%v, %v", snap, err)
	}
	if last, err := d.LastIndex(); last != 200 || err != nil {
		t.Errorf("last %d, %v", last, err)
	}
}

type full struct{ Memory }

func (full) Save(*pb.HardState, []*pb.Entry, *pb.Snapshot) error { return errors.New("no space left") }

// A voter whose disk is full says nothing more, and grants nothing.
func TestFullDisk(t *testing.T) {
	v, err := New(0, Options{ID: 1, Timing: timing, Rules: rules}, full{formed(t, map[string]uint64{"a": 1, "b": 2, "c": 3})})
	if err != nil {
		t.Fatal(err)
	}
	for now := clusterconfig.Micros(0); now < 5_000_000; now += TickSpan {
		if e := v.Tick(now); len(e.Messages) > 0 && v.Err() != nil {
			t.Fatalf("it said %v", e.Messages)
		}
		term, index := uint64(9), uint64(1)
		kind := pb.MsgVote
		e := v.Step(now, &pb.Message{Type: &kind, To: proto.Uint64(1), From: proto.Uint64(2), Term: &term, Index: &index, LogTerm: &index})
		if len(e.Messages) > 0 {
			t.Fatalf("it voted without storing that: %v", e.Messages)
		}
	}
	if v.Err() == nil || v.Renewed(0, clusterconfig.Renewal{Holder: "h"}) != nil {
		t.Errorf("%v", v.Err())
	}
}
