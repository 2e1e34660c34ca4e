package resp

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"junctionwharf/internal/logging"
)

// pipeListener is a listener with a channel as its accept queue.
type pipeListener struct {
	net.Listener
	queue chan net.Conn
}

func (p *pipeListener) Accept() (net.Conn, error) {
	conn, open := <-p.queue
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
func (p *pipeListener) Close() error   { return nil }

// lingerCase is a test case for how long a rejected connection stays open.
type lingerCase struct {
	name     string
	others   int           // connections that are in the accept queue after the rejected one
	sendsFor time.Duration // how long the rejected client continues to send
	min, max time.Duration
}

// Clients keep their connections open after a rejection. If all slots for rejections are occupied, these connections
// must not delay the accept queue. A broker with 1,024 sockets has sixteen such slots. When each rejection
// occupied a slot for 10 ms, connections beyond 1,600 a second were answered late or never.
//
// Without a queue a rejected connection stays open for 10 ms, to receive input in transit. While its client continues
// to send, it stays open even with a queue, for up to half a second, so that no reset overtakes the rejection. The test
// runs on a virtual clock.
func TestRejectedConnectionsMakeRoom(t *testing.T) {
	const queued = 50
	for _, test := range []lingerCase{
		{"alone", 0, 0, inputGrace, inputGrace + lingerStep},
		{"before a queue", queued, 0, lingerStep, 2 * lingerStep},
		{"sending", queued, 100 * time.Millisecond, 100 * time.Millisecond, 102 * time.Millisecond},
		{"sending on", queued, time.Second, maxLingerTime, maxLingerTime + lingerStep},
	} {
		t.Run(test.name, func(t *testing.T) { synctest.Test(t, test.run) })
	}
}

func (test lingerCase) run(t *testing.T) {
	limits := testLimits
	limits.RetryAfter = 150_000
	server := NewServer(nil, limits, 0, 0, 1<<20, testLogger(t))
	server.Table.RejectOverLimit(1, server.reject, func() bool { return false })
	ln := &pipeListener{queue: make(chan net.Conn, test.others+1)}
	var clients []net.Conn
	for range test.others + 1 {
		near, far := net.Pipe()
		clients = append(clients, near)
		ln.queue <- far
	}
	go func() { _, _ = server.Accept(ln) }() // returns when the queue is closed
	began := time.Now()
	expectRejection(t, clients[0])
	for time.Since(began) < test.sendsFor {
		if _, err := io.WriteString(clients[0], "x"); err != nil {
			break
		}
		time.Sleep(lingerStep / 2)
	}
	_, _ = io.Copy(io.Discard, clients[0]) // until the connection is closed
	if took := time.Since(began); took < test.min || took > test.max {
		t.Errorf("the rejected connection ended after %v, want %v to %v", took, test.min, test.max)
	}
	began = time.Now()
	for _, conn := range clients[1:] {
		expectRejection(t, conn)
	}
	bound := time.Duration(test.others) * 2 * lingerStep
	if took := time.Since(began); test.others > 0 && took > bound {
		t.Errorf("rejecting the %d connections in the queue took %v, want at most %v", test.others, took, bound)
	}
	close(ln.queue)
	for _, conn := range clients {
		_ = conn.Close()
	}
	synctest.Wait()
}

// expectRejection sends a request and checks that it is rejected.
func expectRejection(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, readWithID(1)); err != nil {
		t.Error(err)
	}
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "-BUSY 150\r\n" {
		t.Errorf("read %q, error %v, want -BUSY 150", line, err)
	}
}

// A connection is over the limit. A request on it must be rejected at once, a greeting must be answered, and a silent
// connection must end without an answer. The rest of a large request must be read after the rejection. Otherwise a
// reset could overtake the rejection.
func TestRejectAnswers(t *testing.T) {
	server := NewServer(nil, RequestLimits{RetryAfter: 150_000}, 0, 1, 1, logging.Discard())
	header := "*5\r\n$9\r\nBLK.WRITE\r\n$16\r\n7f3a9c21e0b4d655\r\n$2\r\nid\r\n$3\r\nc=w\r\n$300000\r\n"
	for _, test := range []struct{ name, sent, want string }{
		{"request", header + strings.Repeat("x", 300_000) + "\r\n", "-BUSY 150\r\n"},
		{"greeting", pingText, pongLine},
		{"silence", "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			ln := listen(t)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				server.reject(conn)
				_ = conn.Close()
			}()
			conn := dial(t, ln.Addr().String(), longWaitLimit)
			write(t, conn, test.sent)
			if test.sent == "" {
				_ = conn.CloseWrite()
			}
			got, err := io.ReadAll(conn)
			_ = conn.Close()
			<-ended
			if string(got) != test.want || err != nil {
				t.Errorf("read %q, %v, want %q", got, err, test.want)
			}
		})
	}
}
