package agreement

import (
	"bufio"
	"bytes"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"junctionwharf/broker"
	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

var limits = map[string]float64{"gold": 100}

func document(t *testing.T, changes ...clusterconfig.Change) *clusterconfig.Document {
	doc := &clusterconfig.Document{Epoch: 5}
	p := clusterconfig.Proposal{Author: "a", Reason: "r", Changes: changes}
	if err := doc.Check(rulesOf(limits), p); err != nil {
		t.Fatal(err)
	}
	if err := doc.Apply(doc.Next(p)); err != nil {
		t.Fatal(err)
	}
	return doc
}

// What grants carry is packed once, and unpacked as it was.
func TestPack(t *testing.T) {
	doc := document(t, clusterconfig.Change{Key: "class.read.repeat", Value: "yes"})
	next := doc.Next(clusterconfig.Proposal{Expected: 1, Author: "a", Reason: "r", Changes: []clusterconfig.Change{{Key: "class.read.repeat", Value: "no"}}})
	grants := []*clusterconfig.Grant{{Holder: "a", Number: 1, Life: 2, Epoch: 5, Term: 3, Entries: []clusterconfig.Entry{doc.Last}, Prepare: &next},
		{Holder: "b", Number: 4, Epoch: 5, Term: 3, Whole: doc, Prepare: &next}, {Holder: "c", Number: 9, Epoch: 5, Term: 3, Prepare: &next}}
	d := pack(grants)
	if len(d.Entries) != 1 {
		t.Errorf("%d entries", len(d.Entries))
	}
	var text bytes.Buffer
	if _, err := writeFrame(&text, frame{Down: d}); err != nil {
		t.Fatal(err)
	}
	f, _, err := readFrame(bufio.NewReader(&text), mostFrame)
	if err != nil {
		t.Fatal(err)
	}
	got, err := f.Down.unpack()
	if err != nil || len(got) != len(grants) {
		t.Fatal(got, err)
	}
	for i := range got {
		a, err := msgpack.Marshal(got[i])
		b, err2 := msgpack.Marshal(grants[i])
		if err != nil || err2 != nil || !bytes.Equal(a, b) {
			t.Errorf("%+v, want %+v", got[i], grants[i])
		}
	}
	d.Whole = nil
	if _, err := d.unpack(); err == nil {
		t.Error("a grant without its document")
	}
}

// Frames of a peer that talks nonsense end in an error, and take no more memory than came.
func FuzzFrame(f *testing.F) {
	var text bytes.Buffer
	writeFrame(&text, frame{Hello: &hello{Cluster: "c", Name: "n"}})
	f.Add(text.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(t *testing.T, text []byte) {
		got, n, err := readFrame(bufio.NewReader(bytes.NewReader(text)), 1<<10)
		if err == nil && n > len(text) {
			t.Errorf("%d bytes read of %d", n, len(text))
		}
		if err == nil && got.Down != nil {
			got.Down.unpack()
		}
	})
}

// The core acts on its settings and on what is agreed, whichever is less; without a lease on the floors; and a class that the document
// does not know may not be repeated.
func TestEffective(t *testing.T) {
	set := scheduler.Settings{Classes: []scheduler.Class{{Name: "read"}, {Name: "write", Idempotency: scheduler.NotIdempotent}, {Name: "new"}},
		Plans: []scheduler.Plan{{Name: "gold", Limit: 900}, {Name: "free", Limit: 70}, {Name: "all"}}}
	timing := clusterconfig.Timing{Lease: 1000, DriftPPM: 500}
	h := clusterconfig.NewHolder("h", 1, timing, rulesOf(limits))
	r := h.Renew(10)
	doc := document(t, changesTo(&clusterconfig.Document{}, valuesOf(scheduler.Settings{Classes: set.Classes[:2], Plans: set.Plans}, limits))...)
	if !h.Granted(20, clusterconfig.Grant{Holder: "h", Number: r.Number, Life: 1, Epoch: 5, Term: 1, Whole: doc}) {
		t.Fatal("not granted")
	}
	got := effective(set, limits, h.View(30))
	if got.Classes[0].Idempotency != scheduler.Idempotent || got.Classes[1].Idempotency != scheduler.NotIdempotent || got.Classes[2].Idempotency != scheduler.NotIdempotent || got.Plans[0].Limit != 900 || got.Plans[1].Limit != 70 {
		t.Errorf("%+v", got)
	}
	got = effective(set, limits, h.View(1010))
	if got.Classes[0].Idempotency != scheduler.NotIdempotent || got.Plans[0].Limit != 100 || got.Plans[1].Limit != 70 || got.Plans[2].Limit != 0 {
		t.Errorf("without a lease: %+v", got)
	}
	if set.Classes[0].Idempotency != scheduler.Idempotent || set.Plans[0].Limit != 900 {
		t.Error("the broker's own settings were changed")
	}
}

// What discovery says to leave leaves at once; what is agreed to leave leaves though discovery says that it serves, and comes back as
// discovery has it.
func TestList(t *testing.T) {
	node := func(host string, state scheduler.NodeState) broker.Node {
		return broker.Node{Endpoint: scheduler.Endpoint{Name: host, State: state}}
	}
	l := newList()
	l.news(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{node("a", scheduler.Ready), node("b", scheduler.Ready)}})
	if changed := l.agree(map[string]bool{"a": true, "x": true}); len(changed) != 1 || changed[0].State != scheduler.Draining || changed[0].Name != "a" {
		t.Errorf("%+v", changed)
	}
	shown, leave, stay := l.news(broker.NodesListed{Kind: scheduler.DeltaUpdate, Nodes: []broker.Node{node("a", scheduler.Ready), node("b", scheduler.Draining)}})
	if shown.Nodes[0].State != scheduler.Draining || shown.Nodes[1].State != scheduler.Draining || !slices.Equal(leave, []string{"b"}) || len(stay) > 0 {
		t.Errorf("%+v, %v, %v", shown, leave, stay)
	}
	if changed := l.agree(nil); len(changed) != 1 || changed[0].State != scheduler.Ready {
		t.Errorf("%+v", changed)
	}
	shown, leave, stay = l.news(broker.NodesListed{Kind: scheduler.DeltaUpdate, Nodes: []broker.Node{node("b", scheduler.Ready), node("a", scheduler.Removed)}})
	if shown.Nodes[1].State != scheduler.Removed || len(leave) > 0 || !slices.Equal(stay, []string{"b", "a"}) {
		t.Errorf("%+v, %v, %v", shown, leave, stay)
	}
	l.agree(map[string]bool{"b": true})
	l.news(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{node("c", scheduler.Ready)}})
	if changed := l.agree(map[string]bool{"b": true}); len(changed) > 0 || !reflect.DeepEqual(l.shown, map[string]bool{}) {
		t.Errorf("%+v, %v", changed, l.shown)
	}
}

func TestRulesAndFaults(t *testing.T) {
	rules := rulesOf(limits)
	doc := &clusterconfig.Document{}
	err := doc.Check(rules, clusterconfig.Proposal{Expected: 3, Changes: []clusterconfig.Change{{Key: "plan.free.limit", Value: "9"}, {Key: "plan.gold.limit", Value: "9"}, {Key: "class..repeat", Value: "yes"},
		{Key: "node.n.drain", Value: "maybe"}}})
	for _, want := range []string{"expected:", "author:", "reason:", "plan.free.limit: unknown key", "plan.gold.limit: 9 is below 100", "class..repeat: unknown key", "node.n.drain: \"maybe\""} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not told: %v", want, err)
		}
	}
	if kind := faultKind(err); kind != "expected" {
		t.Errorf("%q", kind)
	}
}
