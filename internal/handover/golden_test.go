package handover

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"

	"junctionwharf/internal/discovery"
	"junctionwharf/scheduler"
)

var record = flag.Bool("record", false, "write the golden files anew")

// fullMessage has every field set.
var fullMessage = StateMessage{
	Endpoints: &discovery.EndpointList{Version: 7, Full: true, Endpoints: []discovery.Endpoint{
		{
			Name:        "a",
			Address:     "127.0.0.1:7001",
			Zone:        "z1",
			Kind:        "ssd",
			Shard:       3,
			State:       scheduler.Ready,
			Weight:      0.5,
			StartedAtMS: 1700000000123,
		},
		{Name: "b", Address: "127.0.0.1:7002", State: scheduler.Draining, Weight: 1},
		{Name: "c", State: scheduler.Removed},
	}},
	OpenedRequests: []string{"id-1", "id-2"},
	EndedRequests:  []string{"id-0"},
	PeerOrdinal:    2,
	PeerMessage:    []byte{0, 1, 254, 255},
}

// During an upgrade the two processes are of different versions: the message has the same bytes in both.
func TestMessageBytes(t *testing.T) {
	const path = "testdata/message.json"
	var encoded bytes.Buffer
	if err := json.NewEncoder(&encoded).Encode(fullMessage); err != nil {
		t.Fatal(err)
	}
	if *record {
		if err := os.WriteFile(path, encoded.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded.Bytes(), golden) {
		t.Errorf("encoded:\n%s\nwant:\n%s", encoded.Bytes(), golden)
	}
	var decoded StateMessage
	if err := json.Unmarshal(golden, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, fullMessage) {
		t.Errorf("decoded: %+v", decoded)
	}
	again, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if again = append(again, '\n'); !bytes.Equal(again, golden) {
		t.Errorf("encoded again:\n%s", again)
	}
}

// A field without a value is left out of the message.
func TestEmptyMessageBytes(t *testing.T) {
	text, err := json.Marshal(StateMessage{})
	if err != nil || string(text) != "{}" {
		t.Errorf("%s, %v", text, err)
	}
}
