package conformance

import "time"

// The scenarios of this file are about attempts: what the broker answers and what it retries when a node misbehaves.

func testServed(b *testbed) {
	b.client.prepare(b.T, "r", "w", "dir")
	b.want(b.run(write, "w"), served)
	b.recorder.play(always(serve))
	b.want(b.run(read, "w"), served)
	b.want(b.run(listing, "dir"), served)
}

// A node says that it is overloaded. It has not run the request, so even a write is retried.
func testRejectedThenServed(b *testbed) {
	b.client.prepare(b.T, "w")
	b.recorder.play(firstAttempt(rejectBusy))
	b.want(b.run(write, "w"), served)
}

// A node runs a write and closes the connection. A retry would run it twice, so the client gets an error.
func testWriteThatLostItsAnswer(b *testbed) {
	b.client.prepare(b.T, "w")
	b.recorder.play(firstAttempt(closeAfterExecution))
	b.want(b.run(write, "w"), failed)
	b.recorder.wantAttempts(b.T, "w", 1)
}

// A node closes while a write is on its way. Served or failed: the protocols differ in what the broker can know.
func testWriteCutMidTransfer(b *testbed) {
	b.client.prepare(b.T, "w")
	b.recorder.play(firstAttempt(closeMidRequest))
	b.run(write, "w")
}

// A node runs a write and its answer cannot be read. It may have run, so it is not retried.
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

// A node answers twice. The second answer stands unread on a connection that the broker would use again: were it used,
// the next request would get the answer of another.
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

// No node ever answers. The client gets its final answer in time all the same.
func testSilentNode(b *testbed) {
	b.client.prepare(b.T, "r", "w")
	b.recorder.play(always(hang))
	b.want(b.run(write, "w"), failed)
	if results := b.run(read, "r"); results[0].outcome == served {
		b.Error("a silent node served")
	}
}

// A node's address accepts no connection. Nothing was sent, so writes go to the other node.
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

// One of several requests to a single node hangs while the later ones are answered. The broker ends its attempt before
// it sends the next: the recorder fails the test where two attempts of a request are in flight at once.
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

// answerTo takes and checks the answer to a request that was sent at start.
func (b *testbed) answerTo(id string, k requestKind, start time.Time) result {
	b.Helper()
	r := b.receive(id, k, start)
	b.recorder.check(b.T, []result{r})
	return r
}
