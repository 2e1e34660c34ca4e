package resp

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// fillBudget reserves the whole budget of a server until the returned function is called.
func fillBudget(t *testing.T, server *Server) (release func()) {
	t.Helper()
	all := server.Budget().NewReservation()
	if !all.TryResize(1 << 20) {
		t.Fatal("the budget is not free")
	}
	return all.End
}

// Without memory, the value of the request that is answered next must be streamed, and the value of a queued one must
// be discarded, since its client cannot receive it yet. Small values must always be buffered.
func TestValueWithoutMemory(t *testing.T) {
	shared := newServerMemory(1)
	budget := shared.budget
	full := budget.NewReservation()
	full.ForceResize(1)
	newMemory := func(next bool) *requestMemory {
		memory := shared.newRequest()
		memory.isNext = func() bool { return next }
		return memory
	}
	next := newMemory(true)
	queued := newMemory(false)
	queued.queued = true
	for _, test := range []struct {
		name   string
		memory *requestMemory
		size   int
		want   valueHandling
	}{
		{"a small value", next, smallBytes, valueBuffered},
		{"a large value", next, smallBytes + 1, valueStreamed},
		{"a queued value", queued, 1, valueDiscarded},
		{"a long queued value", queued, maxValueBytes + 1, valueStreamed},
		{"a null value", queued, nullLength, valueBuffered},
	} {
		if got := test.memory.handlingOf(test.size); got != test.want {
			t.Errorf("%s: handling %d, want %d", test.name, got, test.want)
		}
	}
	if shared.streamed.Load() != 1 || shared.discarded.Load() != 1 {
		t.Errorf("metrics %+v, want one value streamed and one discarded", shared.metrics())
	}
	full.End()
	if got := next.handlingOf(smallBytes + 1); got != valueBuffered {
		t.Errorf("with memory a large value has handling %d, want it buffered", got)
	}
	next.end()
	if next.handlingOf(maxValueBytes) != valueStreamed || budget.Reserved() != 0 {
		t.Errorf("%d bytes are reserved after the end of all requests", budget.Reserved())
	}
}

// Without memory for its command, a large request must be rejected at once, and later commands of the connection must
// be read correctly. Small requests must be served whatever other connections buffer.
func TestCommandWithoutMemoryIsRejected(t *testing.T) {
	f := newFixture(t)
	f.serveClients()
	release := fillBudget(t, f.server)
	conn := f.dial()
	reader := bufio.NewReader(conn)
	write(t, conn, largeWrite("large")+request("small"))
	expectLine(t, reader, "-BUSY\r\n")
	f.attempt().serve()
	expectLine(t, reader, "$1\r\n")
	expectLine(t, reader, "v\r\n")
	if got := f.server.memory.rejected.Load(); got != 1 {
		t.Errorf("%d requests were rejected without memory, want 1", got)
	}
	release()
	write(t, conn, largeWrite("again"))
	f.attempt().serve()
	expectLine(t, reader, "$1\r\n")
	expectLine(t, reader, "v\r\n")
	eventually(t, waitLimit, "no bytes are reserved", func() bool { return f.server.Budget().Reserved() == 0 })
}

// A queued request waits for memory. It must be read as soon as there is memory or no earlier answer is pending, and a
// client that disconnects meanwhile must leave nothing behind.
func TestQueuedRequestWaitsForMemory(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		f := newFixture(t)
		f.serveClients()
		conn := f.dial()
		reader := bufio.NewReader(conn)
		write(t, conn, request("first"))
		first := f.attempt()
		release := fillBudget(t, f.server)
		write(t, conn, request("queued"))
		if leaves {
			_ = conn.Close()
			eventually(t, waitLimit, "nothing of the client remains", func() bool {
				return f.loop.OpenRequests() == 0 && f.server.Count() == 0
			})
			release()
			eventually(t, waitLimit, "no bytes are reserved", func() bool { return f.server.Budget().Reserved() == 0 })
			continue
		}
		first.serve()
		expectLine(t, reader, "$1\r\n")
		expectLine(t, reader, "v\r\n")
		f.attempt().serve() // although the budget is full
		expectLine(t, reader, "$1\r\n")
		expectLine(t, reader, "v\r\n")
		release()
	}
}

// A client that stops inside a large command must not occupy the memory of the whole command, and no memory once the
// command is too late.
func TestPartOfACommandOccupiesLittle(t *testing.T) {
	f := newFixture(t)
	f.serveClients()
	conn := f.dial()
	text := largeWrite("part")
	write(t, conn, text[:2*readBufferBytes])
	eventually(t, waitLimit, "the part is read", func() bool { return f.server.Budget().Reserved() > 0 })
	if got := f.server.Budget().Reserved(); got > mediumCommandBytes {
		t.Errorf("%d bytes are reserved for a part of %d bytes", got, 2*readBufferBytes)
	}
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(answer), errorPrefix) {
		t.Errorf("read %q, error %v, want an error", answer, err)
	}
	eventually(t, waitLimit, "no bytes are reserved", func() bool { return f.server.Budget().Reserved() == 0 })
}

// Answers that wait for a slow reader occupy memory, so a batch must not take many large ones.
func TestBatchIsBounded(t *testing.T) {
	f := newFixture(t)
	c, _ := f.accept(nil)
	large := make([]byte, maxBatchBytes/2)
	for range 3 {
		c.pending = append(c.pending, &pendingReply{ready: true, text: net.Buffers{large}})
	}
	if first := c.takeBatch(); len(first.replies) != 2 || len(c.pending) != 1 {
		t.Errorf("the batch has %d answers, want 2", len(first.replies))
	}
}

// The estimate of a class's answers must grow at once and shrink slowly, and must not depend on other classes.
func TestExpectedAnswerSize(t *testing.T) {
	sizes := newAnswerSizes()
	sizes.record("large", maxValueBytes)
	if got := sizes.expect("other"); got != minExpectedBytes {
		t.Errorf("an unknown class is expected to have %d bytes, want %d", got, minExpectedBytes)
	}
	for range sizeDecay {
		sizes.record("large", 1)
	}
	if got := sizes.expect("large"); got <= maxValueBytes/4 || got >= maxValueBytes/2 {
		t.Errorf("after %d small answers %d bytes are expected", sizeDecay, got)
	}
}

// The extension of a command's deadline must not start one.
func TestExtendDeadline(t *testing.T) {
	guard := &inputGuard{}
	guard.extendDeadline(time.Second)
	if !guard.commandDeadline.IsZero() {
		t.Error("a command that has not begun has a deadline")
	}
	at := time.Now()
	guard.commandDeadline = at
	guard.extendDeadline(time.Second)
	if !guard.commandDeadline.Equal(at.Add(time.Second)) {
		t.Error("the deadline was not extended")
	}
}
