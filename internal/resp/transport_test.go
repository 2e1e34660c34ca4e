package resp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
)

// serveCommands accepts connections until the listener is closed, and calls onConnection for each. It calls onCommand
// for each command on a connection, and closes the connection when onCommand returns false.
func serveCommands(ln net.Listener, onConnection func(), onCommand func(net.Conn, redcon.Command) bool) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		onConnection()
		go func() {
			defer func() { _ = conn.Close() }()
			for reader := redcon.NewReader(conn); ; {
				cmd, err := reader.ReadCommand()
				if err != nil || !onCommand(conn, cmd) {
					return
				}
			}
		}()
	}
}

// A node sends its figures long after the value. The client's answer must not be delayed by this, and the connection to
// the node must stay usable.
func TestAnswerDoesNotWaitForFigures(t *testing.T) {
	ln := listen(t)
	address := ln.Addr().String()
	answered := make(chan struct{}, 1)
	connections := make(chan struct{}, 8)
	go serveCommands(ln, func() { connections <- struct{}{} }, func(conn net.Conn, _ redcon.Command) bool {
		_, err := io.WriteString(conn, "*3\r\n$2\r\nhi\r\n$14\r\n")
		<-answered
		if err == nil {
			_, err = io.WriteString(conn, "used=37,cost=4\r\n$-1\r\n")
		}
		return err == nil
	})
	p := pool.New(pool.Options{
		ConnectTimeout: time.Second,
		IdleTimeout:    time.Minute,
		MaxConnections: 4,
		Logger:         failOnLog(t),
	})
	transport := NewTransport(p)
	cmd := readOne(t, bulk(commandRead, testKey, "id", testOptions))
	request, err := parseCommand(cmd.Raw, cmd.Args)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		results := make(chan broker.Result, 1)
		attempt := broker.Attempt{Node: "n", Address: address, Request: request, Timeout: broker.Second}
		transport.Start(attempt, func(r broker.Result) { results <- r })
		select {
		case r := <-results:
			if value, _ := r.Value.([]byte); r.Err != nil || string(value) != "hi" {
				t.Errorf("got %+v, want the value hi", r)
			}
		case <-time.After(waitLimit):
			t.Fatal("no result before the node sent the figures")
		}
		answered <- struct{}{}
		eventually(t, waitLimit, "the connection is kept", func() bool { return p.HasIdle(address) })
	}
	if n := len(connections); n != 1 {
		t.Errorf("%d connections to the node, want 1", n)
	}
}
