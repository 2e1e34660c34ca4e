package handover

import (
	"encoding/json"
	"reflect"
	"testing"

	"junctionwharf/internal/discovery"
	"junctionwharf/internal/golden"
	"junctionwharf/scheduler"
)

// fullMessage has a value in every field.
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

// During an upgrade the two processes are of different versions. A message must have the same bytes in each version.
func TestMessageBytes(t *testing.T) {
	var decoded StateMessage
	golden.CheckJSON(t, "message.json", fullMessage, &decoded, "\n")
	if !reflect.DeepEqual(decoded, fullMessage) {
		t.Errorf("decoded message: %+v, want the encoded one", decoded)
	}
}

// The ids of abandoned requests, which earlier versions do not know, come behind the other fields.
func TestAbandonedRequestsBytes(t *testing.T) {
	text, err := json.Marshal(StateMessage{AbandonedRequests: []string{"id-3"}})
	if err != nil || string(text) != `{"Abandoned":["id-3"]}` {
		t.Errorf("message about an abandoned request: %s, %v", text, err)
	}
}

// Fields without a value must not appear in a message.
func TestEmptyMessageBytes(t *testing.T) {
	text, err := json.Marshal(StateMessage{})
	if err != nil || string(text) != "{}" {
		t.Errorf("empty message: %s, %v", text, err)
	}
}
