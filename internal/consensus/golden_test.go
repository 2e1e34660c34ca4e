package consensus

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
)

// recordGolden writes the golden files again. Do so only for a change of the format that is meant, with a way to read the old one.
var recordGolden = flag.Bool("record", false, "write the golden files under testdata again")

const (
	goldenValues = "testdata/values.golden"    // one encoded value a line: name and hex
	goldenDisk   = "testdata/agreement.golden" // a voter's bbolt file: its size, then the rows that are not zero
	rowBytes     = 32
	encodeTries  = 1000 // msgpack writes a map in the order of a Go range, which is random
)

// goldenEntries are two versions: the second builds on the first.
func goldenEntries() (first, second clusterconfig.Entry) {
	doc := &clusterconfig.Document{Epoch: 77}
	first = doc.Next(clusterconfig.Proposal{Author: "ana", Reason: "first settings", Changes: []clusterconfig.Change{{Key: "limit", Value: "100"}, {Key: "repeat", Value: "yes"}}})
	if err := doc.Apply(first); err != nil {
		panic(err)
	}
	return first, doc.Next(clusterconfig.Proposal{Expected: 1, Author: "rui", Reason: "less", Changes: []clusterconfig.Change{{Key: "limit", Value: "40"}, {Key: "zone", Value: "a"}}})
}

func goldenMembers() map[string]uint64 {
	return map[string]uint64{"v0": 0x1111111111111111, "v1": 0x2222222222222222, "v2": 0x3333333333333333}
}

// goldenRecord is the replicated state with the first version in force and the second under way.
func goldenRecord() *clusterconfig.Record {
	first, second := goldenEntries()
	record := clusterconfig.NewRecord(77, goldenMembers())
	for _, c := range []clusterconfig.Command{{Begin: &first}, {Activate: 1}, {Begin: &second}} {
		if err := record.Apply(c); err != nil {
			panic(err)
		}
	}
	return record
}

// goldenValue is a value that leaves the process as msgpack, and an empty one to decode it into.
type goldenValue struct {
	name  string
	value any
	empty any
}

func goldenTable() []goldenValue {
	first, second := goldenEntries()
	record := goldenRecord()
	return []goldenValue{
		{"command begin", &clusterconfig.Command{Begin: &first}, &clusterconfig.Command{}},
		{"command begin second", &clusterconfig.Command{Begin: &second}, &clusterconfig.Command{}},
		{"command activate", &clusterconfig.Command{Activate: 1}, &clusterconfig.Command{}},
		{"command adopt", &clusterconfig.Command{Adopt: record.Doc}, &clusterconfig.Command{}},
		{"member", &clusterconfig.Member{Name: "v0", ID: 0x4444444444444444}, &clusterconfig.Member{}},
		{"proposal", &first.Proposal, &clusterconfig.Proposal{}},
		{"entry", &first, &clusterconfig.Entry{}},
		{"document", record.Doc, &clusterconfig.Document{}},
		{"record formed", clusterconfig.NewRecord(77, goldenMembers()), &clusterconfig.Record{}},
		{"record", record, &clusterconfig.Record{}},
		{"record empty", clusterconfig.NewRecord(0, nil), &clusterconfig.Record{}},
	}
}

// encoded is the encoding of a value whose maps come out in the order that ok wants.
func encoded(t *testing.T, value any, ok func([]byte) bool) []byte {
	t.Helper()
	var text []byte
	for range encodeTries {
		var err error
		if text, err = msgpack.Marshal(value); err != nil {
			t.Fatal(err)
		}
		if ok(text) {
			break
		}
	}
	return text
}

// sortedMaps tells whether the keys of the maps in an encoding come in order. The encoder itself sorts maps of text only.
func sortedMaps(t *testing.T, value any) func([]byte) bool {
	t.Helper()
	for range encodeTries {
		var want bytes.Buffer
		e := msgpack.NewEncoder(&want)
		e.SetSortMapKeys(true)
		if err := e.Encode(value); err != nil {
			t.Fatal(err)
		}
		text := want.Bytes()
		v0, v1, v2 := bytes.Index(text, []byte("v0")), bytes.Index(text, []byte("v1")), bytes.Index(text, []byte("v2"))
		if v0 <= v1 && v1 <= v2 || v1 < 0 {
			return func(got []byte) bool { return bytes.Equal(got, text) }
		}
	}
	t.Fatal("the members never came in order")
	return nil
}

func readGolden(t *testing.T, path string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if values[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(path, name, err)
		}
	}
	return values
}

// A voter of an earlier build wrote its log and its snapshot, and a voter of this build reads them, or both run side by side during a
// rolling upgrade. Each value that goes into raft's log or snapshot must decode to what it was, and encode to the same bytes.
func TestGoldenValues(t *testing.T) {
	if *recordGolden {
		var text strings.Builder
		for _, c := range goldenTable() {
			fmt.Fprintf(&text, "%s: %x\n", c.name, encoded(t, c.value, sortedMaps(t, c.value)))
		}
		if err := os.WriteFile(goldenValues, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden := readGolden(t, goldenValues)
	if len(golden) != len(goldenTable()) {
		t.Fatalf("%d golden values, want %d", len(golden), len(goldenTable()))
	}
	for _, c := range goldenTable() {
		t.Run(c.name, func(t *testing.T) {
			want := golden[c.name]
			if err := msgpack.Unmarshal(want, c.empty); err != nil {
				t.Fatal(err)
			}
			same := func(text []byte) bool { return bytes.Equal(text, want) }
			for _, value := range []any{c.value, c.empty} {
				if got := encoded(t, value, same); !same(got) {
					t.Errorf("%+v is encoded as\n%x, want\n%x", value, got, want)
				}
			}
		})
	}
}

// writeGoldenDisk does what a voter does to its file: it is formed, takes entries, cuts its log, takes more, and is stopped.
func writeGoldenDisk(t *testing.T, path string) {
	t.Helper()
	d, _, err := Open(path, func() uint64 { return 0x1111111111111111 })
	if err != nil {
		t.Fatal(err)
	}
	do := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	first, second := goldenEntries()
	formed := clusterconfig.NewRecord(77, goldenMembers())
	sorted := sortedMaps(t, formed)
	for range encodeTries { // Form draws the order of the map
		do(Form(d, 77, goldenMembers()))
		if snap, err := d.Snapshot(); err != nil || sorted(snap.GetData()) {
			break
		}
		do(d.Close())
		do(os.Remove(path))
		d, _, err = Open(path, func() uint64 { return 0x1111111111111111 })
		do(err)
	}
	normal := func(index uint64, value any) *pb.Entry {
		kind := pb.EntryNormal
		e := &pb.Entry{Type: &kind, Index: proto.Uint64(index), Term: proto.Uint64(2)}
		if value != nil {
			e.Data = encoded(t, value, sortedMaps(t, value))
		}
		return e
	}
	do(d.Save(hard(2, 0x2222222222222222, 1), []*pb.Entry{normal(2, nil), normal(3, &clusterconfig.Command{Begin: &first})}, nil))
	do(d.Save(hard(2, 0x2222222222222222, 3), []*pb.Entry{normal(4, &clusterconfig.Command{Activate: 1}), normal(5, &clusterconfig.Command{Begin: &second})}, nil))
	do(d.Save(hard(2, 0x2222222222222222, 5), nil, nil))
	record := goldenRecord()
	conf := &pb.ConfState{Voters: slices.Sorted(maps.Values(goldenMembers()))}
	do(d.Compact(5, conf, encoded(t, record, sortedMaps(t, record))))
	add, remove, kind := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode, pb.EntryConfChangeV2
	change, err := proto.Marshal(&pb.ConfChangeV2{Context: encoded(t, clusterconfig.Member{Name: "v2", ID: 0x4444444444444444}, func([]byte) bool { return true }),
		Changes: []*pb.ConfChangeSingle{{Type: &add, NodeId: proto.Uint64(0x4444444444444444)}, {Type: &remove, NodeId: proto.Uint64(0x3333333333333333)}}})
	do(err)
	do(d.Save(hard(2, 0x2222222222222222, 7), []*pb.Entry{normal(6, &clusterconfig.Command{Activate: 2}),
		{Type: &kind, Index: proto.Uint64(7), Term: proto.Uint64(2), Data: change}}, nil))
	do(d.Close())
}

// dump is a file as text: its size, and each row that is not zero.
func dump(file []byte) string {
	var text strings.Builder
	fmt.Fprintf(&text, "size: %x\n", []byte(number(uint64(len(file)))))
	for at := 0; at < len(file); at += rowBytes {
		if row := file[at:min(at+rowBytes, len(file))]; strings.Trim(string(row), "\x00") != "" {
			fmt.Fprintf(&text, "%08x: %x\n", at, row)
		}
	}
	return text.String()
}

func undump(t *testing.T, path string) []byte {
	t.Helper()
	rows := readGolden(t, path)
	var file []byte
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		if name == "size" {
			continue
		}
		at, err := hex.DecodeString(name)
		if err != nil {
			t.Fatal(err)
		}
		start := int(at[0])<<24 | int(at[1])<<16 | int(at[2])<<8 | int(at[3])
		file = append(file, make([]byte, start-len(file))...)
		file = append(file, rows[name]...)
	}
	size := rows["size"]
	return append(file, make([]byte, int(size[6])<<8|int(size[5])<<16|int(size[7])-len(file))...)
}

// keysOf are the keys and values of a bbolt file, by bucket.
func keysOf(t *testing.T, path string) map[string][]byte {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	keys := map[string][]byte{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				keys[fmt.Sprintf("%s/%x", name, k)] = bytes.Clone(v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// A broker is upgraded in place, and its voter opens the file that the build before wrote. It must find its identity, its vote, its
// snapshot and the entries behind it, and carry on; and a build that writes the same history writes the same keys and values.
func TestGoldenDisk(t *testing.T) {
	dir := t.TempDir()
	fresh, kept := filepath.Join(dir, "fresh"), filepath.Join(dir, "kept")
	writeGoldenDisk(t, fresh)
	if *recordGolden {
		file, err := os.ReadFile(fresh)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenDisk, []byte(dump(file)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	file := undump(t, goldenDisk)
	if err := os.WriteFile(kept, file, 0o600); err != nil {
		t.Fatal(err)
	}
	if os.Getpagesize() == 4096 { // bbolt takes the system's
		if now, err := os.ReadFile(fresh); err != nil || !bytes.Equal(now, file) {
			t.Errorf("the file is another: %v\n%s", err, dump(now))
		}
	}
	old, now := keysOf(t, kept), keysOf(t, fresh)
	if !reflect.DeepEqual(old, now) || len(old) < 9 {
		t.Errorf("keys and values:\n%x\nwant\n%x", now, old)
	}
	d, id, err := Open(kept, func() uint64 { return 9 })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	v, err := New(0, Options{ID: id, Timing: timing, Rules: rules}, d)
	if err != nil {
		t.Fatal(err)
	}
	v.Tick(TickSpan)
	doc, members := v.Record().Doc, v.Record().Members
	want := map[string]string{"limit": "40", "repeat": "yes", "zone": "a"}
	if id != 0x1111111111111111 || v.Err() != nil || doc.Epoch != 77 || doc.Version != 2 || !maps.Equal(doc.Values, want) || members["v2"] != 0x4444444444444444 {
		t.Errorf("id %x, %v, %+v, members %x", id, v.Err(), doc, members)
	}
	if err := v.Record().Verify(); err != nil || len(v.Record().Trail) != 2 {
		t.Errorf("%v, %+v", err, v.Record().Trail)
	}
	if _, term := v.Status(); term != 2 {
		t.Errorf("term %d", term)
	}
}

// Somebody renames a field of a type that is kept on disk, and the next build no longer finds what the one before wrote. Each exported
// field therefore carries its name on disk as a tag.
func TestFieldsOnDiskAreTagged(t *testing.T) {
	for _, value := range []any{clusterconfig.Command{}, clusterconfig.Record{}, clusterconfig.Member{}} {
		if missing := untagged(reflect.TypeOf(value), map[reflect.Type]bool{}, "msgpack"); len(missing) > 0 {
			t.Errorf("no tag: %v", missing)
		}
	}
}

// untagged names the exported fields of a struct, and of all structs in it, that lack one of the tags.
func untagged(of reflect.Type, seen map[reflect.Type]bool, tags ...string) []string {
	var missing []string
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return untagged(of.Elem(), seen, tags...)
	case reflect.Map:
		return append(untagged(of.Key(), seen, tags...), untagged(of.Elem(), seen, tags...)...)
	case reflect.Struct:
	default:
		return nil
	}
	if seen[of] {
		return nil
	}
	seen[of] = true
	for field := range of.Fields() {
		if !field.IsExported() {
			continue
		}
		for _, tag := range tags {
			if name, _, _ := strings.Cut(field.Tag.Get(tag), ","); name == "" {
				missing = append(missing, of.String()+"."+field.Name+": "+tag)
			}
		}
		missing = append(missing, untagged(field.Type, seen, tags...)...)
	}
	return missing
}
