package agreement

import (
	"bufio"
	"bytes"
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"junctionwharf/clusterconfig"
)

var testLimitFloors = map[string]float64{"gold": 100}

// newDocument returns a document with one version.
func newDocument(t *testing.T, changes ...clusterconfig.Change) *clusterconfig.Document {
	t.Helper()
	document := &clusterconfig.Document{Epoch: 5}
	p := clusterconfig.Proposal{Author: "a", Reason: "r", Changes: changes}
	if err := document.Validate(newSchema(testLimitFloors), p); err != nil {
		t.Fatal(err)
	}
	if err := document.Apply(document.NextEntry(p)); err != nil {
		t.Fatal(err)
	}
	return document
}

// A message contains the grants of many brokers. It must contain shared entries once, and unpacking must return the
// original grants.
func TestPackedGrantsUnpackAsTheyWere(t *testing.T) {
	document := newDocument(t, clusterconfig.Change{Key: "class.read.repeat", Value: "yes"})
	next := document.NextEntry(clusterconfig.Proposal{
		Expected: 1,
		Author:   "a",
		Reason:   "r",
		Changes:  []clusterconfig.Change{{Key: "class.read.repeat", Value: "no"}},
	})
	entries := []clusterconfig.Entry{document.LastEntry}
	grants := []*clusterconfig.Grant{
		{Holder: "a", RenewalSeq: 1, Incarnation: 2, Epoch: 5, Term: 3, Entries: entries, Pending: &next},
		{Holder: "b", RenewalSeq: 4, Epoch: 5, Term: 3, Document: document, Pending: &next},
		{Holder: "c", RenewalSeq: 9, Epoch: 5, Term: 3, Pending: &next},
	}
	packed := packGrants(grants)
	if len(packed.Entries) != 1 {
		t.Errorf("%d packed entries, want 1", len(packed.Entries))
	}
	var wire bytes.Buffer
	if _, err := writeFrame(&wire, frame{Downstream: packed}); err != nil {
		t.Fatal(err)
	}
	f, _, err := readFrame(bufio.NewReader(&wire), maxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	got, err := f.Downstream.unpackGrants()
	if err != nil || len(got) != len(grants) {
		t.Fatalf("unpacked grants %v, error %v; want %d grants", got, err, len(grants))
	}
	for i := range got {
		a, errA := msgpack.Marshal(got[i])
		b, errB := msgpack.Marshal(grants[i])
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Errorf("unpacked %+v, want %+v; errors %v, %v", got[i], grants[i], errA, errB)
		}
	}
}

// A message must be rejected as a whole if a grant refers to a document or pending version that is not in the message.
func TestIncompleteGrantsAreRejected(t *testing.T) {
	g := &clusterconfig.Grant{Holder: "b", Document: &clusterconfig.Document{}, Pending: &clusterconfig.Entry{}}
	grants := []*clusterconfig.Grant{g}
	lacksDocument, lacksPending := packGrants(grants), packGrants(grants)
	lacksDocument.Document = nil
	lacksPending.Pending = nil
	if _, err := lacksDocument.unpackGrants(); !errors.Is(err, errGrantLacksDocument) {
		t.Errorf("grant without its document: error %v, want %v", err, errGrantLacksDocument)
	}
	if _, err := lacksPending.unpackGrants(); !errors.Is(err, errGrantLacksPending) {
		t.Errorf("grant without its pending version: error %v, want %v", err, errGrantLacksPending)
	}
}

// A peer sends arbitrary bytes. Decoding them must not panic, and must not report more bytes than the peer sent.
func FuzzFrame(f *testing.F) {
	var wire bytes.Buffer
	if _, err := writeFrame(&wire, frame{Hello: &hello{Cluster: "c", Name: "n"}}); err != nil {
		f.Fatal(err)
	}
	f.Add(wire.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(t *testing.T, wire []byte) {
		got, n, err := readFrame(bufio.NewReader(bytes.NewReader(wire)), 1<<10)
		if err == nil && n > len(wire) {
			t.Errorf("reported %d bytes read, but only %d were sent", n, len(wire))
		}
		if err == nil && got.Downstream != nil {
			_, _ = got.Downstream.unpackGrants() // must not panic
		}
	})
}
