package consensus

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/golden"
)

const (
	goldenValues = "testdata/values.golden"    // one encoded value per line: name and hex
	goldenDisk   = "testdata/agreement.golden" // a voter's bbolt file, as written by dump
	rowBytes     = 32
	encodeTries  = 1000 // maximum number of encodings; msgpack writes a map in the random order of a Go range
)

// goldenEntries returns the entries of two versions, the second of which builds on the first.
func goldenEntries() (first, second clusterconfig.Entry) {
	document := &clusterconfig.Document{Epoch: 77}
	first = document.NextEntry(clusterconfig.Proposal{
		Author:  "ana",
		Reason:  "first settings",
		Changes: []clusterconfig.Change{{Key: "limit", Value: "100"}, {Key: "repeat", Value: "yes"}},
	})
	if err := document.Apply(first); err != nil {
		panic(err)
	}
	return first, document.NextEntry(clusterconfig.Proposal{
		Expected: 1,
		Author:   "rui",
		Reason:   "less",
		Changes:  []clusterconfig.Change{{Key: "limit", Value: "40"}, {Key: "zone", Value: "a"}},
	})
}

func goldenMembers() map[string]uint64 {
	return map[string]uint64{"v0": 0x1111111111111111, "v1": 0x2222222222222222, "v2": 0x3333333333333333}
}

// goldenState returns the replicated state with the first version active and the second one pending.
func goldenState() *clusterconfig.State {
	first, second := goldenEntries()
	state := clusterconfig.NewState(77, goldenMembers())
	for _, c := range []clusterconfig.Command{{Begin: &first}, {Activate: 1}, {Begin: &second}} {
		if err := state.Apply(c); err != nil {
			panic(err)
		}
	}
	return state
}

// goldenValue is a value that is stored on disk as msgpack, and an empty value into which it is decoded.
type goldenValue struct {
	name  string
	value any
	empty any
}

func goldenTable() []goldenValue {
	first, second := goldenEntries()
	state := goldenState()
	return []goldenValue{
		{"command begin", &clusterconfig.Command{Begin: &first}, &clusterconfig.Command{}},
		{"command begin second", &clusterconfig.Command{Begin: &second}, &clusterconfig.Command{}},
		{"command activate", &clusterconfig.Command{Activate: 1}, &clusterconfig.Command{}},
		{"command adopt", &clusterconfig.Command{Adopt: state.Document}, &clusterconfig.Command{}},
		{"member", &clusterconfig.Member{Name: "v0", ID: 0x4444444444444444}, &clusterconfig.Member{}},
		{"proposal", &first.Proposal, &clusterconfig.Proposal{}},
		{"entry", &first, &clusterconfig.Entry{}},
		{"document", state.Document, &clusterconfig.Document{}},
		{"record formed", clusterconfig.NewState(77, goldenMembers()), &clusterconfig.State{}},
		{"record", state, &clusterconfig.State{}},
		{"record empty", clusterconfig.NewState(0, nil), &clusterconfig.State{}},
	}
}

// encode encodes a value until accept returns true, at most encodeTries times, and returns the last encoding.
func encode(t *testing.T, value any, accept func([]byte) bool) []byte {
	t.Helper()
	var data []byte
	for range encodeTries {
		var err error
		if data, err = msgpack.Marshal(value); err != nil {
			t.Fatal(err)
		}
		if accept(data) {
			break
		}
	}
	return data
}

// encodeSorted returns an encoding of a value in which all maps are sorted by key.
func encodeSorted(t *testing.T, value any) []byte {
	t.Helper()
	return encode(t, value, sortedMaps(t, value))
}

// sortedMaps returns a function that reports whether an encoding of the value has all its maps sorted by key. The
// encoder's own sorting does not cover the map of members, so sortedMaps encodes the value until the members are
// sorted.
func sortedMaps(t *testing.T, value any) func([]byte) bool {
	t.Helper()
	for range encodeTries {
		var sorted bytes.Buffer
		encoder := msgpack.NewEncoder(&sorted)
		encoder.SetSortMapKeys(true)
		if err := encoder.Encode(value); err != nil {
			t.Fatal(err)
		}
		data := sorted.Bytes()
		v0, v1, v2 := bytes.Index(data, []byte("v0")), bytes.Index(data, []byte("v1")), bytes.Index(data, []byte("v2"))
		if v0 <= v1 && v1 <= v2 || v1 < 0 {
			return func(got []byte) bool { return bytes.Equal(got, data) }
		}
	}
	t.Fatalf("the members were not sorted in any of %d encodings", encodeTries)
	return nil
}

func readGolden(t *testing.T, path string) map[string][]byte {
	t.Helper()
	values := map[string][]byte{}
	for line := range strings.Lines(string(readFile(t, path))) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), ": ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(path, name, err)
		}
		values[name] = data
	}
	return values
}

// A voter reads the log and the snapshot that another build wrote, for example after an upgrade or from another voter
// during a rolling upgrade. Each recorded value of the log or the snapshot must decode to the expected value and encode
// to the same bytes.
func TestGoldenValues(t *testing.T) {
	if golden.Recording() {
		var text strings.Builder
		for _, c := range goldenTable() {
			fmt.Fprintf(&text, "%s: %x\n", c.name, encodeSorted(t, c.value))
		}
		writeFile(t, goldenValues, []byte(text.String()))
	}
	recorded := readGolden(t, goldenValues)
	if len(recorded) != len(goldenTable()) {
		t.Fatalf("%d recorded values, want %d", len(recorded), len(goldenTable()))
	}
	for _, c := range goldenTable() {
		t.Run(c.name, func(t *testing.T) {
			want := recorded[c.name]
			if err := msgpack.Unmarshal(want, c.empty); err != nil {
				t.Fatal(err)
			}
			same := func(data []byte) bool { return bytes.Equal(data, want) }
			for _, value := range []any{c.value, c.empty} {
				if got := encode(t, value, same); !same(got) {
					t.Errorf("%+v is encoded as\n%x, want\n%x", value, got, want)
				}
			}
		})
	}
}

// dump returns a file as text: its size, and each row that has a byte other than zero.
func dump(file []byte) string {
	var text strings.Builder
	fmt.Fprintf(&text, "size: %x\n", encodeUint64(uint64(len(file))))
	for at := 0; at < len(file); at += rowBytes {
		row := file[at:min(at+rowBytes, len(file))]
		if len(bytes.Trim(row, "\x00")) > 0 {
			fmt.Fprintf(&text, "%08x: %x\n", at, row)
		}
	}
	return text.String()
}

// readDump returns the file whose dump is stored at path.
func readDump(t *testing.T, path string) []byte {
	t.Helper()
	rows := readGolden(t, path)
	file := make([]byte, binary.BigEndian.Uint64(rows["size"]))
	delete(rows, "size")
	for name, row := range rows {
		at, err := hex.DecodeString(name)
		if err != nil {
			t.Fatal(err)
		}
		copy(file[binary.BigEndian.Uint32(at):], row)
	}
	return file
}

// A broker is upgraded in place, and its voter opens the file that the previous build wrote. The voter must find its
// identity, its vote, its snapshot and the entries after it, and apply them. A file that this build writes for the same
// history must contain the same keys and values, and the same bytes if the page size is that of the recorded file.
func TestGoldenDisk(t *testing.T) {
	dir := t.TempDir()
	fresh, kept := filepath.Join(dir, "fresh"), filepath.Join(dir, "kept")
	writeGoldenDisk(t, fresh)
	if golden.Recording() {
		writeFile(t, goldenDisk, []byte(dump(readFile(t, fresh))))
	}
	file := readDump(t, goldenDisk)
	writeFile(t, kept, file)
	if os.Getpagesize() == 4096 { // bbolt uses the page size of the system
		if now := readFile(t, fresh); !bytes.Equal(now, file) {
			t.Errorf("the written file differs from the recorded one:\n%s", dump(now))
		}
	}
	old, now := bboltValues(t, kept), bboltValues(t, fresh)
	if !reflect.DeepEqual(old, now) || len(old) < 9 {
		t.Errorf("keys and values:\n%x\nwant\n%x", now, old)
	}
	checkGoldenVoter(t, kept)
}

// checkGoldenVoter starts a voter with the golden file and checks the state that it finds.
func checkGoldenVoter(t *testing.T, path string) {
	t.Helper()
	d, id, err := OpenDisk(path, newTestID)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	v, err := New(0, Options{ID: id, Timing: testTiming, Schema: testSchema}, d)
	if err != nil {
		t.Fatal(err)
	}
	v.Tick(TickInterval)
	document := v.State().Document
	if id != 0x1111111111111111 || v.Err() != nil || document.Epoch != 77 || document.Version != 2 {
		t.Errorf("id %x, error %v, document %+v; want id 1111111111111111, no error, epoch 77, version 2",
			id, v.Err(), document)
	}
	want := map[string]string{"limit": "40", "repeat": "yes", "zone": "a"}
	if !maps.Equal(document.Values, want) {
		t.Errorf("values %v, want %v", document.Values, want)
	}
	if members := v.State().Members; members["v2"] != 0x4444444444444444 {
		t.Errorf("members %x, want v2 with id 4444444444444444", members)
	}
	if err := v.State().VerifyHistory(); err != nil || len(v.State().History) != 2 {
		t.Errorf("verification error %v, history %+v; want no error and 2 entries", err, v.State().History)
	}
	if _, term := v.LeaderAndTerm(); term != 2 {
		t.Errorf("term %d, want 2", term)
	}
	hard, _, err := d.InitialState()
	if err != nil || hard.GetVote() != 0x2222222222222222 {
		t.Errorf("hard state %v, error %v; want a vote for 2222222222222222 (hex)", hard, err)
	}
}

// If a field of a type that is stored on disk is renamed, the next build must still find the stored value. Each
// exported field must therefore have its name on disk as a tag.
func TestFieldsOnDiskAreTagged(t *testing.T) {
	for _, value := range []any{clusterconfig.Command{}, clusterconfig.State{}, clusterconfig.Member{}} {
		if missing := untaggedFields(reflect.TypeOf(value), map[reflect.Type]bool{}); len(missing) > 0 {
			t.Errorf("fields without a msgpack tag: %v", slices.Compact(missing))
		}
	}
}

// untaggedFields returns the exported fields without a msgpack tag, in a type and in all structs that it contains.
func untaggedFields(of reflect.Type, seen map[reflect.Type]bool) []string {
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return untaggedFields(of.Elem(), seen)
	case reflect.Map:
		return append(untaggedFields(of.Key(), seen), untaggedFields(of.Elem(), seen)...)
	case reflect.Struct:
	default:
		return nil
	}
	if seen[of] {
		return nil
	}
	seen[of] = true
	var missing []string
	for field := range of.Fields() {
		if !field.IsExported() {
			continue
		}
		if name, _, _ := strings.Cut(field.Tag.Get("msgpack"), ","); name == "" {
			missing = append(missing, of.String()+"."+field.Name)
		}
		missing = append(missing, untaggedFields(field.Type, seen)...)
	}
	return missing
}
