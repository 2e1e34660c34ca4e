package conformance

import (
	"fmt"
	"time"
)

// The scenarios in this file are about nodes that drain or start.

// A node drains while it sends an endless listing piece by piece. The broker must send it no new requests, and must not
// ask it for more of the listing after the grace period.
func testDrainingNode(b *testbed) {
	b.client.prepare(b.T, "dir", "r")
	b.recorder.play(func(_, id string, earlier int) behavior {
		if id == "dir" && earlier == 0 {
			return trickle
		}
		return serve
	})
	b.client.send("dir", listing)
	b.recorder.awaitAttempts(b.T, "dir", 1)
	draining := b.recorder.seen()[0].node
	b.drain(draining)
	r := b.answerTo("dir", listing, time.Now())
	if b.protocol.name() == "sftp" && r.outcome != served {
		b.Errorf("the listing was %s, want it served by the other node", r.outcome)
	}
	b.run(read, "r")
	for _, a := range b.recorder.seen()[1:] {
		if a.node == draining {
			b.Errorf("an attempt of %s was sent to the draining node", a.id)
		}
	}
}

// A node has just started, and sixteen large requests arrive at once. The broker must not send the node more units than
// the slow start allows. The node answers none of the requests, since an answer would prove capacity.
func testSlowStart(b *testbed) {
	var ids []string
	for i := range 16 {
		ids = append(ids, fmt.Sprint("c", i))
	}
	b.client.prepare(b.T, ids...)
	started := b.nodes[0]
	started.LastStart = b.clock.Now()
	b.recorder.play(always(hang))
	b.list(started)
	b.run(read, ids...)
	sum := 0.0
	for _, a := range b.recorder.seen() {
		sum += float64(unitsOf(a.id))
	}
	if sum == 0 || sum > slowStartUnits {
		b.Errorf("a node that has just started was sent %v units, want more than 0 and at most %v", sum, slowStartUnits)
	}
}
