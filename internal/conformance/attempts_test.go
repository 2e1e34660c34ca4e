package conformance

import "time"

// The scenarios in this file are about attempts: which answers the broker gives and which attempts it retries when a
// node misbehaves.

func testServed(b *testbed) {
	b.client.prepare(b.T, "r", "w", "dir")
	b.want(b.run(write, "w"), served)
	b.recorder.play(always(serve))
	b.want(b.run(read, "w"), served)
	b.want(b.run(listing, "dir"), served)
}

// A node rejects an attempt because it is overloaded. It has not executed the request, so even a write must be retried.
func testRejectedThenServed(b *testbed) {
	b.client.prepare(b.T, "w")
	b.recorder.play(firstAttempt(rejectBusy))
	b.want(b.run(write, "w"), served)
}

// A node executes a write and closes the connection without an answer. A retry would execute the write twice, so the
// client must get an error.
func testWriteThatLostItsAnswer(b *testbed) {
	b.client.prepare(b.T, "w")
	b.recorder.play(firstAttempt(closeAfterExecution))
	b.want(b.run(write, "w"), failed)
	b.recorder.wantAttempts(b.T, "w", 1)
}

// A node closes the connection while it receives a write. The write may be served or fail: the protocols differ in what
// the broker can know about its execution.
func testWriteCutMidTransfer(b *testbed) {
	b.client.prepare(b.T, "w")
	b.recorder.play(firstAttempt(closeMidRequest))
	b.run(write, "w")
}

// A node executes a write and sends an answer that cannot be parsed. The write may have been executed, so it must not
// be retried.
func testWriteWithCorruptAnswer(b *testbed) {
	b.client.prepare(b.T, "w")
	b.recorder.play(firstAttempt(corruptAnswer))
	b.want(b.run(write, "w"), failed)
	b.recorder.wantAttempts(b.T, "w", 1)
}

func testReadWithCorruptAnswer(b *testbed) {
	b.client.prepare(b.T, "r")
	b.recorder.play(firstAttempt(corruptAnswer))
	b.want(b.run(read, "r"), served)
}

// A node answers a request twice. The second answer is unread on a connection that the broker might reuse. If the
// broker reused this connection, the next request would get the answer to another request.
func testDuplicateAnswer(b *testbed) {
	ids := []string{"w1", "w2", "w3"}
	b.client.prepare(b.T, ids...)
	b.recorder.play(firstAttempt(duplicateAnswer))
	for _, id := range ids {
		b.want(b.run(write, id), served)
	}
}

func testReadThatLostItsAnswer(b *testbed) {
	b.client.prepare(b.T, "r")
	b.recorder.play(firstAttempt(closeAfterExecution))
	b.want(b.run(read, "r"), served)
}

// The nodes never answer. The client must still get its final answers in time.
func testSilentNode(b *testbed) {
	b.client.prepare(b.T, "r", "w")
	b.recorder.play(always(hang))
	b.want(b.run(write, "w"), failed)
	if results := b.run(read, "r"); results[0].outcome == served {
		b.Error("a read was served by a silent node")
	}
}

// A node's address accepts no connections. No byte of a request was sent to it, so writes must be retried at the other
// node.
func testNodeRefusesConnections(b *testbed) {
	ids := []string{"w1", "w2", "w3"}
	b.client.prepare(b.T, ids...)
	closed := listen(b.T)
	_ = closed.Close()
	moved := b.nodes[0]
	moved.Address = closed.Addr().String()
	b.list(moved, b.nodes[1])
	b.recorder.play(always(serve))
	b.want(b.run(write, ids...), served, served, served)
}

// One of several requests to a single node hangs while later requests are answered. The broker must end the attempt
// before it starts the next attempt of the same request. The recorder fails the test if two attempts of a request are
// in flight at once.
func testOvertakenAttempt(b *testbed) {
	ids := []string{"r", "r1", "r2", "r3", "r4", "r5"}
	b.client.prepare(b.T, ids...)
	b.list(b.nodes[0])
	b.recorder.play(func(_, id string, earlier int) behavior {
		if id == "r" && earlier == 0 {
			return hang
		}
		return serve
	})
	b.want(b.run(read, ids...), served, served, served, served, served, served)
	b.recorder.wantAttempts(b.T, "r", 2)
}

func testPipelinedRequests(b *testbed) {
	ids := []string{"a", "b", "c", "e"}
	b.client.prepare(b.T, ids...)
	b.recorder.play(always(serve))
	b.want(b.run(write, ids...), served, served, served, served)
}

// answerTo receives and checks the answer to a request that was sent at start.
func (b *testbed) answerTo(id string, k requestKind, start time.Time) result {
	b.Helper()
	r := b.receive(id, k, start)
	b.recorder.check(b.T, []result{r})
	return r
}
