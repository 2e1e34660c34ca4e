package resp

import (
	"bufio"
	"fmt"
	"testing"
	"time"
)

// A client left while a node executed its request, and the request ran a second time when its ID came again, at this
// process or at the other one of an upgrade. The ID must be refused at both, whether the node has answered or not. An
// ID whose request was not sent to a node must be accepted again.
func TestIDOfAbandonedRequestIsRefused(t *testing.T) {
	const mayHaveRun = "-ERR malformed command: a request with this id may have run\r\n"
	for _, test := range []struct {
		name            string
		forwarded       bool
		answered        bool
		other           bool // the ID comes again at the other process
		noise           bool // the client sends malformed input behind the request
		connectedLater  bool // the other process connects after the client has left
		thisProcessEnds bool
		want            string
	}{
		{name: "in flight", forwarded: true, want: mayHaveRun},
		{name: "answered", forwarded: true, answered: true, want: mayHaveRun},
		{name: "answered after malformed input", forwarded: true, noise: true, want: mayHaveRun},
		{name: "other process", forwarded: true, other: true, want: mayHaveRun},
		{name: "other process, later", forwarded: true, other: true, connectedLater: true, want: mayHaveRun},
		{name: "other process, this one has ended", forwarded: true, other: true, thisProcessEnds: true, want: mayHaveRun},
		{name: "not sent", want: "$1\r\n"},
		{name: "not sent, other process", other: true, want: "$1\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := newFixture(t)
			first.transport.marksForwarded = test.forwarded
			other := first
			if test.other {
				other = newFixture(t)
				first.server.OnRequestChange(func(id string, change IDChange) {
					if !test.connectedLater {
						forwardChange(other.server, id, change)
					}
				})
				other.serveClients()
			}
			first.serveClients()
			conn := first.dial()
			write(t, conn, request("id"))
			attempt := first.attempt()
			if test.noise {
				write(t, conn, "nonsense")
			}
			hangUp(t, conn, !test.noise)
			eventually(t, waitLimit, "the client is gone", func() bool {
				return first.loop.OpenRequests() == 0 && first.server.Count() == 0
			})
			if test.answered {
				attempt.serve()
			}
			if !test.forwarded {
				eventually(t, waitLimit, "the ID is available", func() bool { return !refuses(first.server, "id") })
			}
			if test.connectedLater {
				open, abandoned := first.server.RequestIDs()
				other.server.UpdateRemoteRequests(open, nil, abandoned)
			}
			if test.thisProcessEnds {
				other.server.AbandonRemoteRequests()
			}
			again := other.dial()
			write(t, again, request("id"))
			if test.want == "$1\r\n" {
				other.attempt().serve()
			}
			expectLine(t, bufio.NewReader(again), test.want)
			if len(other.transport.attempts) > 0 {
				t.Error("the request was sent to a node a second time")
			}
		})
	}
}

// forwardChange passes a change of an ID on to the other process.
func forwardChange(other *Server, id string, change IDChange) {
	ids := []string{id}
	switch change {
	case IDOpened:
		other.UpdateRemoteRequests(ids, nil, nil)
	case IDEnded:
		other.UpdateRemoteRequests(nil, ids, nil)
	case IDAbandoned:
		other.UpdateRemoteRequests(nil, nil, ids)
	}
}

// refuses reports whether an ID is open or abandoned.
func refuses(server *Server, id string) bool {
	if server.ids.add(id) != nil {
		return true
	}
	server.ids.end(id)
	return false
}

// A client that leaves before it has read the answer of a request that ran must not have it run again.
func TestIDStaysOpenUntilTheAnswerIsWritten(t *testing.T) {
	f := newFixture(t)
	f.transport.marksForwarded = true
	f.serveClients()
	conn := f.dial()
	write(t, conn, request("first")+request("second"))
	first, second := f.attempt(), f.attempt()
	second.serve() // its answer waits behind the first one
	eventually(t, waitLimit, "the second request is answered", func() bool { return f.loop.OpenRequests() == 1 })
	if !refuses(f.server, "second") {
		t.Error("the ID of a request whose answer is not written is available")
	}
	hangUp(t, conn, true)
	eventually(t, waitLimit, "the connection has ended", func() bool { return f.server.Count() == 0 })
	if !refuses(f.server, "first") || !refuses(f.server, "second") {
		t.Error("the ID of an abandoned request is available")
	}
	first.serve()
	reader := f.dial()
	write(t, reader, request("third"))
	f.attempt().serve()
	lines := bufio.NewReader(reader)
	expectLine(t, lines, "$1\r\n")
	expectLine(t, lines, "v\r\n")
	if refuses(f.server, "third") {
		t.Error("the ID of a request whose answer was read is refused")
	}
}

// The IDs of abandoned requests are forgotten after a while, and their number is bounded.
func TestAbandonedIDsAreBounded(t *testing.T) {
	ids := newRequestIDs()
	for i := range 3 * maxAbandonedIDs {
		ids.abandon(fmt.Sprint("id", i))
	}
	if len(ids.abandoned) != maxAbandonedIDs || len(ids.order) != maxAbandonedIDs {
		t.Errorf("%d IDs in %d entries are kept, want %d", len(ids.abandoned), len(ids.order), maxAbandonedIDs)
	}
	if ids.add("id0") != nil || ids.add(fmt.Sprint("id", 3*maxAbandonedIDs-1)) == nil {
		t.Error("the oldest ID is refused, or the newest one is not")
	}
	ids.setRetention(time.Nanosecond)
	ids.abandon("brief")
	time.Sleep(time.Microsecond)
	if err := ids.add("brief"); err != nil {
		t.Errorf("an ID is refused after the retention time: %v", err)
	}
}
