package resp

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
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

// The buffer of a rejected command is used again. A command that was forwarded must not count as one, since an attempt
// may still write it after the request is answered.
func TestForwardedCommandKeepsItsBuffer(t *testing.T) {
	ln := listen(t)
	options := pool.Options{ConnectTimeout: time.Second, MaxConnections: 1, Logger: testLogger(t)}
	transport := NewTransport(pool.New(options))
	cmd := readOne(t, bulk(commandRead, testKey, "id", testOptions))
	request, err := parseCommand(cmd.Raw, cmd.Args)
	if err != nil {
		t.Fatal(err)
	}
	forwarded := &request.Message.(*command).forwarded
	if *forwarded {
		t.Error("a command counts as forwarded before its first attempt")
	}
	attempt := broker.Attempt{Node: "n", Address: ln.Addr().String(), Request: request, Timeout: broker.Second}
	transport.Start(attempt, func(broker.Result) {}).Stop()
	if !*forwarded {
		t.Error("a command does not count as forwarded after its first attempt")
	}
}

// Clients that repeat rejected commands at full speed made garbage faster than it was collected. The buffer of a
// command that is rejected for lack of memory must be used again.
func TestRejectedCommandsReuseBuffers(t *testing.T) {
	const commands = 200
	conn := &cutConn{in: strings.NewReader(strings.Repeat(largeWrite("w"), commands)), rng: rand.New(rand.NewPCG(1, 1))}
	reader := newCommandReader(&inputGuard{Conn: conn, detached: true})
	reader.reserve = func(size int) bool { return size <= mediumCommandBytes }
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range commands {
		if cmd, err := reader.ReadCommand(); !errors.Is(err, errNoMemory) || len(cmd.Raw) != discardedPrefixBytes {
			t.Fatalf("read %d bytes, error %v, want the first bytes of a discarded command", len(cmd.Raw), err)
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / commands; each > mediumCommandBytes/2 {
		t.Errorf("each discarded command allocated %d bytes, want only its first bytes", each)
	}
}
