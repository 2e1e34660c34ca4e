package handover

import (
	"io"
	"net"
	"testing"
	"time"
)

// dialTest connects to an address and limits all reads and writes of the connection to 5 s.
func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// dialMany opens count connections.
func dialMany(t *testing.T, address string, count int) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for range count {
		conns = append(conns, dialTest(t, address))
	}
	return conns
}

// answerAll accepts count connections, writes word to each, and closes them.
func answerAll(t *testing.T, listener net.Listener, word string, count int) {
	t.Helper()
	for range count {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, word); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
}

// checkAnswers reads each connection to its end and checks the answer.
func checkAnswers(t *testing.T, what string, conns []net.Conn, want string) {
	t.Helper()
	for _, conn := range conns {
		if got, err := io.ReadAll(conn); string(got) != want {
			t.Errorf("%s: answer %q, error %v, want %q", what, got, err, want)
		}
	}
}

// Eight connections are queued at the old process's listener when the process redirects new connections to its
// successor. The old process still accepts these eight. All later connections reach the successor, also after the old
// listener is closed.
func TestRedirectNewConnections(t *testing.T) {
	oldListener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = oldListener.Close() }()
	address := oldListener.Addr().String()
	queued := dialMany(t, address, 8)
	newListener, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = newListener.Close() }()
	if err := RedirectNewConnections(oldListener); err != nil {
		t.Fatal(err)
	}
	redirected := dialMany(t, address, 16)
	answerAll(t, oldListener, "old", len(queued))
	answerAll(t, newListener, "new", len(redirected))
	_ = oldListener.Close()
	late := dialMany(t, address, 2)
	answerAll(t, newListener, "new", len(late))
	checkAnswers(t, "connections queued at the old listener", queued, "old")
	checkAnswers(t, "redirected connections", append(redirected, late...), "new")
}
