package resp

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
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
	if server.ids.add(id, true) != nil {
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

// The IDs of abandoned requests were forgotten beyond a number, the oldest first, also those of requests that must not
// run twice, so that these ran twice. Their memory is bounded by a part of the byte budget. At the bound, the IDs of
// requests that may run twice are forgotten, the oldest first, and then requests that must not are rejected, until the
// time of other IDs is over.
func TestAbandonedIDsAreBounded(t *testing.T) {
	const maxBytes = 64 << 10
	ids := newRequestIDs(maxBytes)
	name := func(kind string, i int) string { return fmt.Sprintf("%s-%06d", kind, i) }
	room := maxBytes / idBytes(name("safe", 0))
	abandonAll := func(kind string, count int, repeatable bool) {
		for i := range count {
			if err := ids.add(name(kind, i), repeatable); err != nil {
				t.Fatalf("%s: %v", name(kind, i), err)
			}
			ids.abandon(name(kind, i), repeatable)
		}
	}
	abandonAll("safe", 3*room, true)
	if len(ids.abandoned) != room || len(ids.repeatable) != room {
		t.Errorf("%d IDs are kept in %d entries, want %d", len(ids.abandoned), len(ids.repeatable), room)
	}
	if ids.add(name("safe", 0), true) != nil || ids.add(name("safe", 3*room-1), true) == nil {
		t.Error("the oldest ID of a request that may run twice is refused, or the newest one is not")
	}
	ids.end(name("safe", 0))
	if held := ids.repeatableBytes; held > maxBytes || held < maxBytes-2*idBytes("safe-000000") {
		t.Errorf("%d bytes are held, want about %d", held, maxBytes)
	}
	abandonAll("once", room, false) // the names are of equal length
	if err := ids.add(name("once", room), false); !errors.Is(err, errNoRoomForID) {
		t.Errorf("without room: %v, want %v", err, errNoRoomForID)
	}
	if err := ids.add(name("safe", 9*room), true); err != nil {
		t.Errorf("without room, a request that may run twice: %v", err)
	}
	for i := range room {
		if ids.add(name("once", i), false) == nil {
			t.Fatalf("request %d of %d that must not run twice would run again", i, room)
		}
	}
	ids.resize(2 * maxBytes)
	if err := ids.add(name("more", 0), false); err != nil {
		t.Errorf("with more room: %v", err)
	}
	ids.end(name("more", 0))
	for i := range room {
		ids.end(name("once", i))
	}
	ids.setRetention(time.Nanosecond)
	ids.abandon("brief", false)
	time.Sleep(time.Microsecond)
	if err := ids.add("brief", false); err != nil {
		t.Errorf("an ID is refused after the retention time: %v", err)
	}
	ids.end("brief")
	ids.resize(0)
	if ids.protectedBytes != 0 || ids.repeatableBytes != 0 || len(ids.abandoned) != 0 {
		t.Errorf("%d and %d bytes are counted for %d IDs after all have ended", ids.protectedBytes, ids.repeatableBytes,
			len(ids.abandoned))
	}
}

// Over sockets: clients leave with requests that must not run twice until there is no memory for further IDs. A new
// request of that kind gets the answer to come again, one that may run twice is served, and no ID that may have run is
// accepted again. The cost of requests that are answered, or were never sent to a node, is none.
func TestFullTableOfIDsRejects(t *testing.T) {
	f := newFixture(t)
	f.transport.marksForwarded = true
	f.server.ids.resize(minIDBytes)
	f.serveClients()
	rejection := ""
	sent := 0
	for ; rejection == ""; sent++ {
		conn := f.dial()
		line := make(chan string, 1)
		write(t, conn, writeRequest(fmt.Sprint("once", sent)))
		go func() {
			text, _ := bufio.NewReader(conn).ReadString('\n') // fails when the test hangs up
			line <- text
		}()
		select {
		case attempt := <-f.transport.attempts:
			hangUp(t, conn, false)
			eventually(t, waitLimit, "the client is gone", func() bool { return f.loop.OpenRequests() == 0 })
			attempt.serve()
		case rejection = <-line:
		}
		if sent > minIDBytes/idOverhead {
			t.Fatal("no request was rejected")
		}
	}
	if !strings.HasPrefix(rejection, "-BUSY") || f.server.memory.rejectedIDs.Load() != 1 {
		t.Errorf("the request that finds no room got %q, counted %d times, want -BUSY", rejection,
			f.server.memory.rejectedIDs.Load())
	}
	for i := range sent - 1 {
		if f.server.ids.add(fmt.Sprint("once", i), false) == nil {
			t.Fatalf("request %d of %d would run again", i, sent)
		}
	}
	conn := f.dial()
	write(t, conn, request("safe"))
	f.attempt().serve()
	expectLine(t, bufio.NewReader(conn), "$1\r\n")
}

// Requests that wait at the broker when their clients leave have never run. Their IDs must neither take memory nor push
// out others.
func TestUnsentIDsTakeNoMemory(t *testing.T) {
	f := newFixture(t)
	f.server.ids.resize(minIDBytes)
	f.serveClients()
	for i := range 2 * minIDBytes / idOverhead {
		conn := f.dial()
		write(t, conn, writeRequest(fmt.Sprint("waits", i)))
		attempt := f.attempt()
		hangUp(t, conn, false)
		eventually(t, waitLimit, "the client is gone", func() bool {
			return f.loop.OpenRequests() == 0 && !refuses(f.server, fmt.Sprint("waits", i))
		})
		attempt.serve()
	}
	if f.server.ids.protectedBytes != 0 || f.server.memory.rejectedIDs.Load() != 0 {
		t.Errorf("%d bytes are held and %d requests were rejected, want none", f.server.ids.protectedBytes,
			f.server.memory.rejectedIDs.Load())
	}
}
