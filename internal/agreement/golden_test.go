package agreement

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/golden"
)

const (
	goldenFrames  = "testdata/frames.golden"  // one frame per line: name and hex
	goldenAnswers = "testdata/answers.golden" // one text per line: name and what the console or a peer receives
	separator     = " => "
	encodeTries   = 1000 // maximum number of encodings; msgpack writes the entries of a map in random order
)

func goldenDocument() (document *clusterconfig.Document, next clusterconfig.Entry) {
	document = &clusterconfig.Document{Epoch: 5}
	changes := []clusterconfig.Change{
		{Key: "class.read.repeat", Value: "yes"},
		{Key: "plan.gold.limit", Value: "900"},
	}
	p := clusterconfig.Proposal{Author: "ana", Reason: "first", Changes: changes}
	if err := document.Apply(document.NextEntry(p)); err != nil {
		panic(err)
	}
	return document, document.NextEntry(clusterconfig.Proposal{
		Expected: 1,
		Author:   "rui",
		Reason:   "leaves",
		Changes:  []clusterconfig.Change{{Key: "node.n1.drain", Value: "yes"}},
	})
}

type goldenFrame struct {
	name  string
	frame frame
}

// goldenTable returns frames of each kind, which together have all fields set.
func goldenTable() []goldenFrame {
	return slices.Concat(goldenHandshakes(), goldenUpstream(), goldenDownstream(), []goldenFrame{
		{"alive", frame{}},
		{"raft", frame{Raft: []byte{1, 2, 3}}},
		{"form", frame{Bootstrap: &bootstrapMessage{
			Epoch:   5,
			Members: map[string]uint64{"v0": 1, "v1": 2, "v2": 3},
		}}},
	})
}

func goldenHandshakes() []goldenFrame {
	return []goldenFrame{
		{"hello voter", frame{Hello: &hello{
			Cluster:       "c",
			SharedOptions: "t",
			Name:          "v0",
			ListenAddress: "127.0.0.1:1",
			IsVoter:       true,
			RaftID:        7,
			Uninitialized: true,
		}}},
		{"hello", frame{Hello: &hello{Cluster: "c", SharedOptions: "t", Name: "n"}}},
		{"welcome", frame{Welcome: &welcome{
			Path:          []string{"v0", "a"},
			Name:          "a",
			RaftID:        7,
			Uninitialized: true,
		}}},
		{"welcome refused", frame{Welcome: &welcome{
			Rejection:    "enough are fed here",
			Alternatives: []string{"127.0.0.1:1", "127.0.0.1:2"},
			Name:         "a",
		}}},
	}
}

func goldenUpstream() []goldenFrame {
	document, next := goldenDocument()
	return []goldenFrame{
		{"up renewals", frame{Upstream: &upstreamMessage{Renewals: []clusterconfig.Renewal{
			{Holder: "a", Seq: 1, Incarnation: 2, Epoch: 5, Version: 1, Prepared: 2},
			{Holder: "b", Seq: 3},
		}}}},
		{"up asks", frame{Upstream: &upstreamMessage{Calls: []operatorCall{
			{Broker: "a", Number: 4, Command: "propose", Proposal: &next.Proposal},
			{Broker: "a", Number: 5, Command: "history", Version: 20},
		}}}},
		{"up offers", frame{Upstream: &upstreamMessage{Documents: []*clusterconfig.Document{document}}}},
	}
}

func goldenDownstream() []goldenFrame {
	document, next := goldenDocument()
	grants := []*clusterconfig.Grant{
		{
			Holder: "a", RenewalSeq: 1, Incarnation: 2, Epoch: 5, Term: 3, GrantSeq: 41,
			Entries: []clusterconfig.Entry{document.LastEntry}, Pending: &next,
		},
		{
			Holder: "b", RenewalSeq: 4, Incarnation: 8, Epoch: 5, Term: 3, GrantSeq: 42,
			Document: document, Pending: &next,
		},
		{Holder: "c", RenewalSeq: 9, Incarnation: 6, Epoch: 5, Term: 3, GrantSeq: 43},
	}
	return []goldenFrame{
		{"down grants", frame{Downstream: packGrants(grants)}},
		{"down notice", frame{Downstream: &downstreamMessage{Notify: true}}},
		{"down adopt", frame{Downstream: &downstreamMessage{AdoptFrom: []string{"a", "b"}}}},
		{"down replies", frame{Downstream: &downstreamMessage{Replies: []operatorReply{
			{Broker: "a", Number: 4, JSON: []byte("{}")},
			{Broker: "a", Number: 5, Error: "e", Kind: "invalid"},
		}}}},
	}
}

// write encodes a frame until accept returns true, at most encodeTries times, and returns the last encoding.
func write(t *testing.T, f frame, accept func([]byte) bool) []byte {
	t.Helper()
	var wire bytes.Buffer
	for range encodeTries {
		wire.Reset()
		if _, err := writeFrame(&wire, f); err != nil {
			t.Fatal(err)
		}
		if accept(wire.Bytes()) {
			break
		}
	}
	return wire.Bytes()
}

// sortedMaps returns a function that reports whether an encoded frame has all its maps sorted by key. The encoder's own
// sorting does not cover the members of a bootstrap message, so sortedMaps encodes the frame until they are sorted.
func sortedMaps(t *testing.T, f frame) func([]byte) bool {
	t.Helper()
	for range encodeTries {
		var sorted bytes.Buffer
		encoder := msgpack.NewEncoder(&sorted)
		encoder.SetSortMapKeys(true)
		if err := encoder.Encode(f); err != nil {
			t.Fatal(err)
		}
		data := sorted.Bytes()
		v0, v1, v2 := bytes.Index(data, []byte("v0")), bytes.Index(data, []byte("v1")), bytes.Index(data, []byte("v2"))
		if f.Bootstrap == nil || v0 <= v1 && v1 <= v2 {
			return func(got []byte) bool { return bytes.Equal(got[frameHeader:], data) }
		}
	}
	t.Fatalf("the members were not sorted in any of %d encodings", encodeTries)
	return nil
}

func readGolden(t *testing.T, path string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), separator)
		values[name] = value
	}
	return values
}

func writeGolden(t *testing.T, path string, values map[string]string) {
	t.Helper()
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&text, "%s%s%s\n", name, separator, values[name])
	}
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Brokers of two builds communicate during a rolling upgrade. A frame of each kind must be decoded to the values that
// the other build encoded, and must be encoded to the same bytes.
func TestGoldenFrames(t *testing.T) {
	if golden.Recording() {
		values := map[string]string{}
		for _, c := range goldenTable() {
			values[c.name] = hex.EncodeToString(write(t, c.frame, sortedMaps(t, c.frame)))
		}
		writeGolden(t, goldenFrames, values)
	}
	recorded := readGolden(t, goldenFrames)
	if len(recorded) != len(goldenTable()) {
		t.Fatalf("%d recorded frames, want %d", len(recorded), len(goldenTable()))
	}
	for _, c := range goldenTable() {
		t.Run(c.name, func(t *testing.T) {
			want, err := hex.DecodeString(recorded[c.name])
			if err != nil {
				t.Fatal(err)
			}
			got, n, err := readFrame(bufio.NewReader(bytes.NewReader(want)), maxFrameBytes)
			if err != nil || n != len(want) || !reflect.DeepEqual(got, c.frame) {
				t.Errorf("read %+v, %d bytes, error %v; want %+v, %d bytes", got, n, err, c.frame, len(want))
			}
			same := func(data []byte) bool { return bytes.Equal(data, want) }
			for _, f := range []frame{c.frame, got} {
				if data := write(t, f, same); !same(data) {
					t.Errorf("frame written as\n%x, want\n%x", data, want)
				}
			}
		})
	}
}

// Brokers accept each other only if their settings of lease, limits and voters are the same. Each broker sends these
// settings as one text. Its format must not change, because brokers of other builds compare the text.
func TestSharedOptionsFormat(t *testing.T) {
	o := Options{
		Name:        "n",
		Timing:      clusterconfig.DefaultTiming,
		LimitFloors: map[string]float64{"gold": 100, "free": 2.5},
		Voters:      []Voter{{"v0", "127.0.0.1:1"}, {"v1", "127.0.0.1:2"}},
	}
	const want = "{1000000 500} [free gold] map[free:2.5 gold:100] [{v0 127.0.0.1:1} {v1 127.0.0.1:2}]"
	if got := o.sharedOptions(); got != want {
		t.Errorf("shared options %q, want %q", got, want)
	}
}

// If a field of a frame is renamed, brokers of two builds must still understand each other. If a field of an answer is
// renamed, operators' scripts must still find it. Each exported field must therefore have its name outside the process
// as a tag.
func TestFieldsOnTheWireAreTagged(t *testing.T) {
	if missing := untaggedFields(reflect.TypeFor[frame](), map[reflect.Type]bool{}, "msgpack"); len(missing) > 0 {
		t.Errorf("fields of a frame without a msgpack tag: %v", missing)
	}
	for _, value := range []any{
		clusterconfig.Document{},
		clusterconfig.Entry{},
		clusterconfig.Proposal{},
		Status{},
		Difference{},
		callError{},
	} {
		if missing := untaggedFields(reflect.TypeOf(value), map[reflect.Type]bool{}, "json"); len(missing) > 0 {
			t.Errorf("fields of %T without a json tag: %v", value, missing)
		}
	}
}

// untaggedFields returns the names of the exported fields without a tag, in a type and in all structs that it contains.
func untaggedFields(of reflect.Type, seen map[reflect.Type]bool, tag string) []string {
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return untaggedFields(of.Elem(), seen, tag)
	case reflect.Map:
		return append(untaggedFields(of.Key(), seen, tag), untaggedFields(of.Elem(), seen, tag)...)
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
		if name, _, _ := strings.Cut(field.Tag.Get(tag), ","); name == "" {
			missing = append(missing, of.String()+"."+field.Name)
		}
		missing = append(missing, untaggedFields(field.Type, seen, tag)...)
	}
	return missing
}
