package clientconn

import (
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// maxUnreadGenerations bounds the earlier settings that a connection keeps for its unread input. With a smaller value,
// input that is not read during several changes would be judged by later settings than its own.
const maxUnreadGenerations = 8

// InputGenerations records which of a connection's input came under which settings, so that a command which was not
// read yet when the settings changed is judged by the settings that it came under. S is the type of the settings. Only
// the goroutine that reads from the connection calls Received and At. Any goroutine may call Replace.
type InputGenerations[S any] struct {
	received atomic.Int64 // bytes that were read from the connection

	mu      sync.Mutex // guards earlier
	earlier []inputGeneration[S]
}

// inputGeneration is the input that came under settings which were replaced.
type inputGeneration[S any] struct {
	end      int64 // the first byte after that input, counted from the start of the connection
	settings S
}

// Received records that n bytes were read from the connection, and returns the number of all bytes that were.
func (g *InputGenerations[S]) Received(n int) int64 { return g.received.Add(int64(n)) }

// Replace records that settings are replaced: the input that has arrived on conn came under them, read or not.
func (g *InputGenerations[S]) Replace(conn net.Conn, settings S) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var end int64
	for received := int64(-1); received != g.received.Load(); { // again if the reader has read meanwhile
		received = g.received.Load()
		end = received + int64(unreadBytes(conn))
	}
	if len(g.earlier) == maxUnreadGenerations {
		g.earlier = g.earlier[1:]
	}
	g.earlier = append(g.earlier, inputGeneration[S]{end, settings})
}

// At returns the settings that a command came under. end is the first byte after the command, counted from the start of
// the connection, and never smaller than in an earlier call. present are the settings in force.
func (g *InputGenerations[S]) At(end int64, present S) S {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.earlier) > 0 && g.earlier[0].end < end {
		g.earlier = g.earlier[1:]
	}
	if len(g.earlier) > 0 {
		return g.earlier[0].settings
	}
	return present
}

// unreadBytes returns the number of bytes that have arrived on a connection and were not read. It returns 0 if the
// connection has ended or is not a socket.
func unreadBytes(conn net.Conn) int {
	unread := 0
	err := control(conn, func(fd int) (err error) {
		unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	if err != nil {
		return 0
	}
	return unread
}
