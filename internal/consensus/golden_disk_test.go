package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
)

func newGoldenID() uint64 { return 0x1111111111111111 }

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, filePermission); err != nil {
		t.Fatal(err)
	}
}

// bootstrapGoldenDisk bootstraps a new file. It tries again until the members in the encoded snapshot are sorted.
func bootstrapGoldenDisk(t *testing.T, path string) *DiskStorage {
	t.Helper()
	sorted := sortedMaps(t, clusterconfig.NewState(77, goldenMembers()))
	for range encodeTries {
		d, _, err := OpenDisk(path, newGoldenID)
		if err != nil {
			t.Fatal(err)
		}
		if err := Bootstrap(d, 77, goldenMembers()); err != nil {
			t.Fatal(err)
		}
		snapshot, err := d.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if sorted(snapshot.GetData()) {
			return d
		}
		if err := errors.Join(d.Close(), os.Remove(path)); err != nil {
			t.Fatal(err)
		}
	}
	t.Fatalf("the members were not sorted in any of %d encodings", encodeTries)
	return nil
}

// goldenEntry returns an entry of term 2. For a nil value it returns the empty entry with which a leader starts its
// term.
func goldenEntry(t *testing.T, index uint64, value any) *pb.Entry {
	t.Helper()
	kind := pb.EntryNormal
	e := &pb.Entry{Type: &kind, Index: proto.Uint64(index), Term: proto.Uint64(2)}
	if value != nil {
		e.Data = encodeSorted(t, value)
	}
	return e
}

// goldenMemberChange returns the entry that replaces the identity of voter v2.
func goldenMemberChange(t *testing.T, index uint64) *pb.Entry {
	t.Helper()
	add, remove, kind := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode, pb.EntryConfChangeV2
	data, err := proto.Marshal(&pb.ConfChangeV2{
		Context: encodeSorted(t, clusterconfig.Member{Name: "v2", ID: 0x4444444444444444}),
		Changes: []*pb.ConfChangeSingle{
			{Type: &add, NodeId: proto.Uint64(0x4444444444444444)},
			{Type: &remove, NodeId: proto.Uint64(0x3333333333333333)},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &pb.Entry{Type: &kind, Index: proto.Uint64(index), Term: proto.Uint64(2), Data: data}
}

// writeGoldenDisk writes a file as a voter does: it bootstraps the file, saves entries, compacts the log, saves more
// entries, and closes the file.
func writeGoldenDisk(t *testing.T, path string) {
	t.Helper()
	d := bootstrapGoldenDisk(t, path)
	first, second := goldenEntries()
	const vote = 0x2222222222222222
	save := func(commit uint64, entries ...*pb.Entry) {
		t.Helper()
		if err := d.Save(testHardState(2, vote, commit), entries, nil); err != nil {
			t.Fatal(err)
		}
	}
	begin := func(index uint64, e *clusterconfig.Entry) *pb.Entry {
		return goldenEntry(t, index, &clusterconfig.Command{Begin: e})
	}
	activate := func(index, version uint64) *pb.Entry {
		return goldenEntry(t, index, &clusterconfig.Command{Activate: version})
	}
	save(1, goldenEntry(t, 2, nil), begin(3, &first))
	save(3, activate(4, 1), begin(5, &second))
	save(5)
	conf := &pb.ConfState{Voters: slices.Sorted(maps.Values(goldenMembers()))}
	if err := d.Compact(5, conf, encodeSorted(t, goldenState())); err != nil {
		t.Fatal(err)
	}
	save(7, activate(6, 2), goldenMemberChange(t, 7))
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}

// bboltValues returns the values of a bbolt file, by bucket and key.
func bboltValues(t *testing.T, path string) map[string][]byte {
	t.Helper()
	db, err := bbolt.Open(path, filePermission, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	values := map[string][]byte{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(key, value []byte) error {
				values[fmt.Sprintf("%s/%x", name, key)] = bytes.Clone(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return values
}
