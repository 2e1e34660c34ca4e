package resp

import (
	"bufio"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"junctionwharf/internal/logging"
)

// pipes is a listener whose kernel's queue is a channel.
type pipes struct {
	net.Listener
	queue chan net.Conn
}

func (p *pipes) Accept() (net.Conn, error) {
	conn, open := <-p.queue
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }
func (p *pipes) Close() error   { return nil }

// Where all places are taken, clients that keep their connection open behind a refusal must not hold up the queue behind them: a
// broker of 1,024 sockets has sixteen such places, and with 10 ms each what waited beyond 1,600 a second was answered late or
// never. Without a queue a refused connection stays for 10 ms, for what crosses its end; while its client goes on sending it
// stays with one, too, up to half a second, so that no reset overtakes the refusal. On a virtual clock.
func TestRefusedConnectionsMakeWay(t *testing.T) {
	const crowd = 50
	for name, c := range map[string]struct {
		others     int           // in the queue behind it
		sends      time.Duration // its client goes on sending for so long
		least, end time.Duration
	}{
		"alone":          {0, 0, partTime, partTime + lingerStep},
		"before a queue": {crowd, 0, lingerStep, 2 * lingerStep},
		"sending":        {crowd, 100 * time.Millisecond, 100 * time.Millisecond, 102 * time.Millisecond},
		"sending on":     {crowd, time.Second, lingerTime, lingerTime + lingerStep},
	} {
		synctest.Test(t, func(t *testing.T) {
			terms := testTerms
			terms.After = 150_000
			f := NewServer(nil, terms, 0, 0, 1<<20, logging.ToFunc(func(line string) { t.Log(line) }))
			f.Table.RejectOverLimit(1, f.reject, func() bool { return false })
			ln := &pipes{queue: make(chan net.Conn, crowd+1)}
			var clients []net.Conn
			for range c.others + 1 {
				near, far := net.Pipe()
				clients = append(clients, near)
				ln.queue <- far
			}
			go f.Table.Accept(ln)
			began := time.Now()
			refused := func(conn net.Conn) {
				t.Helper()
				if _, err := io.WriteString(conn, ask(1)); err != nil {
					t.Error(err)
				}
				if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "-BUSY 150\r\n" {
					t.Errorf("%s: %q, %v", name, line, err)
				}
			}
			refused(clients[0])
			for time.Since(began) < c.sends {
				if _, err := io.WriteString(clients[0], "x"); err != nil {
					break
				}
				time.Sleep(lingerStep / 2)
			}
			io.Copy(io.Discard, clients[0])
			if took := time.Since(began); took < c.least || took > c.end {
				t.Errorf("%s: ended after %v, not within %v and %v", name, took, c.least, c.end)
			}
			began = time.Now()
			for _, conn := range clients[1:] {
				refused(conn)
			}
			if took := time.Since(began); c.others > 0 && took > crowd*2*lingerStep {
				t.Errorf("%s: %d behind it took %v", name, crowd, took)
			}
			close(ln.queue)
			for _, conn := range clients {
				conn.Close()
			}
			synctest.Wait()
		})
	}
}
