package simwire

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

func TestWriterEncodesEachAction(t *testing.T) {
	tests := []struct {
		action scheduler.Action
		want   string
	}{
		{scheduler.Forward{ID: 1, Node: "a:1", Timeout: 80 * time.Millisecond}, "SUBMIT_TO g 1 a:1 80000"},
		{scheduler.Forward{ID: 1, Node: "a:1"}, "SUBMIT_TO g 1 a:1 -"},
		{scheduler.Reject{ID: 2, After: time.Second}, "TURN_AWAY g 2 1000000"},
		{scheduler.Reject{ID: 2}, "TURN_AWAY g 2 -"},
		{scheduler.Fail{ID: 3}, "REPORT_FAILURE g 3"},
		{scheduler.Cancel{ID: 4, Attempt: 2}, "UNDO_SEND g 4 2"},
		{scheduler.HealthCheck{Node: "a:1"}, "TOUCH g a:1"},
		{scheduler.SendToPeer{Peer: scheduler.AllPeers, Data: []byte("hi 7")}, "ANNOUNCE g all 68692037"},
		{scheduler.SendToPeer{Peer: 2}, "ANNOUNCE g 2 -"},
		{scheduler.SetTimer{Token: 7, After: time.Millisecond}, "NOTIFY_ME g 7 1000"},
		{scheduler.WatchEndpoints{On: true}, "LISTEN g 1"},
		{scheduler.WatchEndpoints{}, "LISTEN g 0"},
		{scheduler.FetchEndpoints{}, "LIST_ALL g"},
		{scheduler.CloseIdleConnections{Node: "a:1"}, "FREE_LINKS g a:1"},
		{scheduler.Log{Message: "one\nline"}, "NOTE_DOWN g one line"},
	}
	var out bytes.Buffer
	writer := NewWriter(&out)
	want := ""
	for _, test := range tests {
		if err := writer.WriteAction("g", test.action); err != nil {
			t.Fatal(err)
		}
		want += test.want + "\n"
	}
	if err := errors.Join(writer.WriteFailure("g", "why\nnot"), writer.EndReply(9)); err != nil {
		t.Fatal(err)
	}
	want += "FATAL g why not\nNEXT 9\n"
	if got := out.String(); got != want {
		t.Errorf("reply is:\n%swant:\n%s", got, want)
	}
}
