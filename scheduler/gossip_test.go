package scheduler_test

import (
	"fmt"
	"testing"

	"junctionwharf/scheduler"
)

func TestInvalidPeerMessagesAreDropped(t *testing.T) {
	settings := basicSettings()
	settings.Brokers = 2
	settings.Capabilities.Peers = true
	d := newDriver(t, settings, oneNode)
	for _, data := range [][]byte{
		nil,
		{9},
		{2, 2, 3},
		{1, 0, 0, 0, 0, 0, 0},
		{4, 0, 0, 0, 0, 0, 0},
		{3, 1, 1, 1, 1, 1, 1},
		make([]byte, 1000),
	} {
		d.step(scheduler.PeerMessage{From: 1, Data: data}, scheduler.PeerMessage{From: 7, Data: data})
	}
	if actions := d.takeActions(); len(actions) > 0 {
		t.Errorf("invalid peer messages cause the actions %v, want none", actions)
	}
	id := d.request("high", "v", 1)
	if got := d.takeForwarded(); len(got) != 1 || got[0] != id {
		t.Errorf("forwarded requests %v, want request %d", got, id)
	}
}

// reportsOf returns the number of messages that one of the given number of brokers sends for 40 requests.
func reportsOf(t *testing.T, brokers int) (count int) {
	t.Helper()
	settings := basicSettings()
	settings.Brokers = brokers
	settings.Capabilities.Peers = true
	d := newDriver(t, settings, oneNode)
	for i := range 40 {
		d.requestLike(scheduler.Request{Volume: fmt.Sprint("v", i%5), Units: 2, Brokers: 2})
		d.advance(25 * ms)
	}
	for _, action := range d.takeActions() {
		if message, ok := action.(scheduler.SendToPeer); ok {
			if message.Peer < 0 || message.Peer >= brokers || len(message.Data) > 8 {
				t.Fatalf("%d bytes sent to peer %d, want at most 8 to a known peer", len(message.Data), message.Peer)
			}
			count++
		}
	}
	return count
}

// The number of a broker's demand reports must depend on its own requests and not on the number of peers. If every
// broker reports to all peers, the number of reports grows with the square of the number of brokers. Because of that,
// simulated days with 150 brokers were cut off.
func TestReportsFollowTheBrokersOwnRequests(t *testing.T) {
	if few, many := reportsOf(t, 3), reportsOf(t, 300); few == 0 || many > 40 {
		t.Errorf("%d messages for 40 requests with 3 brokers, want some; %d with 300, want at most 40", few, many)
	}
}

// An aggregator answers each report with the demand that other brokers reported, ignoring expired reports.
func TestAggregatorAnswersWithTheDemandOfOthers(t *testing.T) {
	settings := basicSettings()
	settings.Brokers = 4
	settings.Capabilities.Peers = true
	d := newDriver(t, settings, oneNode)
	report := func(from int) scheduler.PeerMessage {
		return scheduler.PeerMessage{From: from, Data: []byte{2, 9, 9, 9, 9, 0, 48}}
	}
	answer := func(to int, steps byte) scheduler.Action {
		return scheduler.SendToPeer{Peer: to, Data: []byte{3, 9, 9, 9, 9, 0, steps}}
	}
	d.step(report(1), report(1), report(2))
	want := fmt.Sprint([]scheduler.Action{answer(1, 0), answer(1, 0), answer(2, 48)})
	if got := fmt.Sprint(d.takeActions()); got != want {
		t.Errorf("answers %v, want %v", got, want)
	}
	d.advance(2 * second)
	d.takeActions()
	d.step(report(3))
	if got := fmt.Sprint(d.takeActions()); got != fmt.Sprint([]scheduler.Action{answer(3, 0)}) {
		t.Errorf("answers %v after the reports expired, want a demand of 0", got)
	}
}
