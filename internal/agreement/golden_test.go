package agreement

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/consensus"
	"junctionwharf/scheduler"
)

// recordGolden writes the golden files again. Do so only for a change of the format that is meant, with a way to talk to older brokers.
var recordGolden = flag.Bool("record", false, "write the golden files under testdata again")

const (
	goldenFrames = "testdata/frames.golden"  // one frame a line: name and hex
	goldenTexts  = "testdata/answers.golden" // one text a line: name and what the console or a peer is told
	separator    = " => "
	encodeTries  = 1000 // msgpack writes a map in the order of a Go range, which is random
)

func goldenDocument() (doc *clusterconfig.Document, next clusterconfig.Entry) {
	doc = &clusterconfig.Document{Epoch: 5}
	p := clusterconfig.Proposal{Author: "ana", Reason: "first", Changes: []clusterconfig.Change{{Key: "class.read.repeat", Value: "yes"}, {Key: "plan.gold.limit", Value: "900"}}}
	if err := doc.Apply(doc.Next(p)); err != nil {
		panic(err)
	}
	return doc, doc.Next(clusterconfig.Proposal{Expected: 1, Author: "rui", Reason: "leaves", Changes: []clusterconfig.Change{{Key: "node.n1.drain", Value: "yes"}}})
}

type goldenFrame struct {
	name  string
	frame frame
}

// goldenTable has a frame of each kind, with all fields set.
func goldenTable() []goldenFrame {
	doc, next := goldenDocument()
	grants := []*clusterconfig.Grant{{Holder: "a", Number: 1, Life: 2, Epoch: 5, Term: 3, Seq: 41, Entries: []clusterconfig.Entry{doc.Last}, Prepare: &next},
		{Holder: "b", Number: 4, Life: 8, Epoch: 5, Term: 3, Seq: 42, Whole: doc, Prepare: &next}, {Holder: "c", Number: 9, Life: 6, Epoch: 5, Term: 3, Seq: 43}}
	return []goldenFrame{
		{"alive", frame{}},
		{"hello voter", frame{Hello: &hello{Cluster: "c", Terms: "t", Name: "v0", Listen: "127.0.0.1:1", Voter: true, ID: 7, Fresh: true}}},
		{"hello", frame{Hello: &hello{Cluster: "c", Terms: "t", Name: "n"}}},
		{"welcome", frame{Welcome: &welcome{Path: []string{"v0", "a"}, Name: "a", ID: 7, Fresh: true}}},
		{"welcome refused", frame{Welcome: &welcome{Reason: "enough are fed here", Others: []string{"127.0.0.1:1", "127.0.0.1:2"}, Name: "a"}}},
		{"raft", frame{Raft: []byte{1, 2, 3}}},
		{"up renewals", frame{Up: &up{Renewals: []clusterconfig.Renewal{{Holder: "a", Number: 1, Life: 2, Epoch: 5, Version: 1, Ready: 2}, {Holder: "b", Number: 3}}}}},
		{"up asks", frame{Up: &up{Asks: []ask{{Holder: "a", Number: 4, Call: "propose", Proposal: &next.Proposal}, {Holder: "a", Number: 5, Call: "history", Version: 20}}}}},
		{"up offers", frame{Up: &up{Offers: []*clusterconfig.Document{doc}}}},
		{"down grants", frame{Down: pack(grants)}},
		{"down notice", frame{Down: &down{Poke: true}}},
		{"down adopt", frame{Down: &down{Lend: []string{"a", "b"}}}},
		{"down replies", frame{Down: &down{Replies: []reply{{Holder: "a", Number: 4, Text: []byte("{}")}, {Holder: "a", Number: 5, Error: "e", Kind: "invalid"}}}}},
		{"form", frame{Form: &form{Epoch: 5, Members: map[string]uint64{"v0": 1, "v1": 2, "v2": 3}}}},
	}
}

// written is a frame as it is sent, with its maps in the order that ok wants.
func written(t *testing.T, f frame, ok func([]byte) bool) []byte {
	t.Helper()
	var text bytes.Buffer
	for range encodeTries {
		text.Reset()
		if _, err := writeFrame(&text, f); err != nil {
			t.Fatal(err)
		}
		if ok(text.Bytes()) {
			break
		}
	}
	return text.Bytes()
}

// sortedMaps tells whether the keys of the maps in a frame come in order. The encoder itself sorts maps of text only.
func sortedMaps(t *testing.T, f frame) func([]byte) bool {
	t.Helper()
	for range encodeTries {
		var want bytes.Buffer
		e := msgpack.NewEncoder(&want)
		e.SetSortMapKeys(true)
		if err := e.Encode(f); err != nil {
			t.Fatal(err)
		}
		text := want.Bytes()
		v0, v1, v2 := bytes.Index(text, []byte("v0")), bytes.Index(text, []byte("v1")), bytes.Index(text, []byte("v2"))
		if f.Form == nil || v0 <= v1 && v1 <= v2 {
			return func(got []byte) bool { return bytes.Equal(got[4:], text) }
		}
	}
	t.Fatal("the members never came in order")
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

func writeGolden(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Brokers of two builds talk to each other during a rolling upgrade. A frame of each kind must be read as what the other build meant, and
// be written with the same bytes.
func TestGoldenFrames(t *testing.T) {
	if *recordGolden {
		var text strings.Builder
		for _, c := range goldenTable() {
			fmt.Fprintf(&text, "%s%s%x\n", c.name, separator, written(t, c.frame, sortedMaps(t, c.frame)))
		}
		writeGolden(t, goldenFrames, text.String())
	}
	golden := readGolden(t, goldenFrames)
	if len(golden) != len(goldenTable()) {
		t.Fatalf("%d golden frames, want %d", len(golden), len(goldenTable()))
	}
	for _, c := range goldenTable() {
		t.Run(c.name, func(t *testing.T) {
			want, err := hex.DecodeString(golden[c.name])
			if err != nil {
				t.Fatal(err)
			}
			got, n, err := readFrame(bufio.NewReader(bytes.NewReader(want)), mostFrame)
			if err != nil || n != len(want) || !reflect.DeepEqual(got, c.frame) {
				t.Errorf("%+v, %d bytes, %v; want %+v, %d bytes", got, n, err, c.frame, len(want))
			}
			same := func(text []byte) bool { return bytes.Equal(text, want) }
			for _, f := range []frame{c.frame, got} {
				if text := written(t, f, same); !same(text) {
					t.Errorf("written as\n%x, want\n%x", text, want)
				}
			}
		})
	}
}

// goldenAnswers are what scripts and people read: the console's JSON, and the texts of errors.
func goldenAnswers(t *testing.T) map[string]string {
	t.Helper()
	doc, next := goldenDocument()
	record := clusterconfig.NewRecord(5, nil)
	first := doc.Last
	for _, c := range []clusterconfig.Command{{Begin: &first}, {Activate: 1}, {Begin: &next}} {
		if err := record.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	answers := map[string]string{}
	add := func(name string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		answers[name] = string(text)
	}
	add("export", doc)
	add("export empty", &clusterconfig.Document{})
	add("history", []clusterconfig.Entry{first, next})
	add("diff", []Difference{{Key: "k", Old: "a", New: "b"}})
	add("status follower", Status{Name: "a", Role: "follower"})
	add("status", Status{Name: "a", Role: "leader", Epoch: 5, Version: 1, PendingVersion: 2, Restricted: true, RestrictedMS: 3, LeaseLeftMS: 4, Parent: "p", Path: []string{"v0", "p"},
		Children: []string{"c"}, Voters: map[string]string{"v0": "self", "v1": "connected"}, Leader: "v0", Term: 6, Fault: "f", WaitingFor: []string{"w"}, Lagging: map[string]uint64{"b": 1}})
	answers["failure"] = strings.TrimSpace(string(failure("invalid", "a \"fault\"")))
	s := &Service{}
	for _, call := range []string{"", "unknown", "rollback 1 ana", "rollback x ana why", "history x", "history 99999999999", "diff x", "diff -1", "propose", "propose {", "propose 5", "propose [1]",
		`propose "a"`, `propose {"expected":"1"}`, `propose {"expected":-1}`, `propose {"expected":1.5}`, `propose {"author":5}`, `propose {"reason":[]}`, `propose {"changes":5}`, `propose {"changes":{}}`, `propose {"changes":[5]}`,
		`propose {"changes":["a"]}`, `propose {"changes":[{"key":5}]}`, `propose {"changes":[{"value":true}]}`, `propose {"changes":[{"key":{}}]}`, `propose {"author":"a"`} {
		answers["call "+call] = strings.TrimSpace(string(s.HandleCommand(call)))
	}
	rules := rulesOf(limits)
	err := record.Doc.Check(rules, clusterconfig.Proposal{Expected: 3, Changes: []clusterconfig.Change{{Key: "plan.free.limit", Value: "9"}, {Key: "plan.gold.limit", Value: "9"}, {Key: "plan.gold.limit", Value: "x"},
		{Key: "class..repeat", Value: "yes"}, {Key: "node.n.drain", Value: "maybe"}}})
	answers["faults"] = strings.ReplaceAll(err.Error(), "\n", " | ")
	answers["faults empty"] = strings.ReplaceAll(record.Doc.Check(rules, clusterconfig.Proposal{}).Error(), "\n", " | ")
	for name, c := range map[string]clusterconfig.Command{"begin again": {Begin: &next}, "activate another": {Activate: 9}, "adopt": {Adopt: doc}, "empty": {}} {
		answers["command "+name] = record.Apply(c).Error()
	}
	altered, other := next, next
	altered.Hash, other.Before = "x", "y"
	for name, e := range map[string]clusterconfig.Entry{"altered": altered, "of another history": other, "too early": first} {
		answers["entry "+name] = fmt.Sprint(clusterconfig.NewRecord(5, nil).Apply(clusterconfig.Command{Begin: &e}))
		answers["entry "+name+" behind the first"] = fmt.Sprint(doc.Clone().Apply(e))
	}
	for _, version := range []uint64{0, 2} {
		if _, err := record.At(version); err != nil {
			answers[fmt.Sprint("version ", version)] = err.Error()
		}
	}
	short := record.Clone()
	short.Doc.Version, short.Trail[0].Version = 9, 9
	_, err = short.At(3)
	answers["version too old"] = err.Error()
	_, err = short.At(8)
	answers["value too old"] = strings.Replace(err.Error(), "plan.gold.limit", "class.read.repeat", 1) // it names one of the two
	answers["altered trail"] = short.Verify().Error()
	for _, err := range []error{clusterconfig.ErrExpected, clusterconfig.ErrUnderWay, clusterconfig.ErrNotLeader, consensus.ErrUnknown} {
		answers["kind of "+err.Error()] = faultKind(fmt.Errorf("x: %w", err))
	}
	k := clusterconfig.NewKeeper(0, 1, clusterconfig.DefaultTiming, rules, record.Doc, record.Pending, 0)
	_, err = k.Propose(0, clusterconfig.Proposal{})
	answers["proposal to a leader that is not sure"] = err.Error()
	k.Confirmed(1 << 40)
	_, err = k.Propose(0, clusterconfig.Proposal{})
	answers["proposal beside another"] = err.Error()
	answers["begun beside another"] = k.Begin(0, next).Error()
	return answers
}

// An operator's scripts read the console's answers, and an engineer searches for the texts of errors. All must stay as they are, whatever
// the types are called that they come from.
func TestGoldenAnswers(t *testing.T) {
	answers := goldenAnswers(t)
	if *recordGolden {
		var text strings.Builder
		names := make([]string, 0, len(answers))
		for name := range answers {
			names = append(names, name)
		}
		for _, name := range slices.Sorted(slices.Values(names)) {
			fmt.Fprintf(&text, "%s%s%s\n", name, separator, answers[name])
		}
		writeGolden(t, goldenTexts, text.String())
	}
	golden := readGolden(t, goldenTexts)
	if len(golden) != len(answers) {
		t.Errorf("%d golden answers, want %d", len(golden), len(answers))
	}
	for name, want := range golden {
		if got := answers[name]; got != want {
			t.Errorf("%s:\n%s, want\n%s", name, got, want)
		}
	}
}

// Two brokers agree only if they have set lease, limits and members alike; each says what it has set as one text, which both compare.
func TestGoldenTerms(t *testing.T) {
	s, err := New(Options{Name: "n", Timing: clusterconfig.DefaultTiming, LimitFloors: map[string]float64{"gold": 100, "free": 2.5},
		Voters: []Voter{{"v0", "127.0.0.1:1"}, {"v1", "127.0.0.1:2"}}}, scheduler.Settings{}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	const want = "{1000000 500} [free gold] map[free:2.5 gold:100] [{v0 127.0.0.1:1} {v1 127.0.0.1:2}]"
	if s.terms != want {
		t.Errorf("%q, want %q", s.terms, want)
	}
}

// Somebody renames a field of a frame, and brokers of two builds no longer understand each other; or of an answer, and an operator's script
// no longer finds it. Each exported field therefore carries its outer name as a tag.
func TestFieldsOnTheWireAreTagged(t *testing.T) {
	if missing := untagged(reflect.TypeFor[frame](), map[reflect.Type]bool{}, "msgpack"); len(missing) > 0 {
		t.Errorf("no tag: %v", missing)
	}
	for _, value := range []any{clusterconfig.Document{}, clusterconfig.Entry{}, clusterconfig.Proposal{}, Status{}, Difference{}} {
		if missing := untagged(reflect.TypeOf(value), map[reflect.Type]bool{}, "json"); len(missing) > 0 {
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
