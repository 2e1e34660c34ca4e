package discovery

import (
	"testing"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// Answers of discovery: a full list, a change of it, and an answer without changes.
const (
	fullText = `{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"10.1.0.18:6379","site":"a","class":"m2",` +
		`"block":3,"health":"SERVING","share":1.5,"born_ms":0}]}`
	changeText = `{"seq":43,"whole":false,"hosts":[{"host":"a","dial":"10.1.0.18:6379",` +
		`"block":3,"health":"DRAINING","share":1,"born_ms":0}]}`
	noChangeText = `{"seq":43,"whole":false,"hosts":[]}`
)

// mustParse parses a valid list.
func mustParse(t *testing.T, text string) *EndpointList {
	t.Helper()
	list, err := ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// Each key of an entry is passed to the core.
func TestParseList(t *testing.T) {
	list := mustParse(t, fullText)
	if list.Version != 41 || !list.Full || len(list.Endpoints) != 1 {
		t.Fatalf("list is %+v", list)
	}
	want := broker.Node{
		Endpoint: scheduler.Endpoint{Name: "a", Zone: "a", Kind: "m2", Shard: 3, State: scheduler.Ready, Weight: 1.5},
		Address:  "10.1.0.18:6379",
	}
	if got := list.Event(scheduler.FullUpdate, broker.NewClock()).Nodes[0]; got != want {
		t.Errorf("node is %+v, want %+v", got, want)
	}
}

// A list with one faulty entry is rejected as a whole.
func TestParseFaultyList(t *testing.T) {
	for _, text := range []string{
		`{`,
		`{"hosts":[{"host":"a","health":"UP"}]}`,
		`{"hosts":[{"health":"SERVING"}]}`,
	} {
		if _, err := ParseList([]byte(text)); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}
