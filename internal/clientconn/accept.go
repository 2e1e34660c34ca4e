package clientconn

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptRetryDelay is the pause after a failed accept, which is most often caused by a lack of file descriptors.
	// With a smaller value, the broker would spin. With a larger value, clients would wait longer once descriptors are
	// free.
	acceptRetryDelay = 10 * time.Millisecond
	// evictRetryInterval is how long a new connection waits for a slot before the table tries to evict again.
	evictRetryInterval = 50 * time.Millisecond
)

// errQueueEmpty reports that the kernel's accept queue holds no connection.
var errQueueEmpty = errors.New("accept queue is empty")

// Accept accepts a connection and acquires a slot for it. If all slots are in use, Accept tries to evict a connection.
// If no connection can be evicted, Accept rejects the new connection or, without RejectOverLimit, waits for a slot. The
// caller must call Add, and later Remove, for each returned connection. After Close or StopAccepting, Accept returns
// net.ErrClosed once the kernel's accept queue is empty.
func (t *Table) Accept(ln net.Listener) (net.Conn, error) {
	t.setListener(ln)
	for {
		if t.reject == nil {
			t.acquireSlot()
		}
		conn, err := acceptNext(ln)
		if err == nil {
			if t.reject == nil || t.acquireSlot() {
				return conn, nil
			}
			t.startRejecting(conn)
			continue
		}
		if t.reject == nil {
			t.limit.Release()
		}
		if errors.Is(err, net.ErrClosed) {
			t.endListener.Do(func() { close(t.listenerEnded) })
			return nil, err
		}
		t.logger.Warn("accept failed", "reason", err)
		time.Sleep(acceptRetryDelay)
	}
}

// setListener stores the listener for StopAccepting and Close. If Close was called before, the listener ends when its
// accept queue is empty.
func (t *Table) setListener(ln net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = ln
	if ln != nil && t.phase >= closed {
		t.endListenerAfter(0)
	}
}

// acceptNext accepts a connection. After the listener's deadline it accepts only from the kernel's accept queue. If the
// queue is empty, it closes the listener and returns net.ErrClosed. Closing the listener earlier would reset the
// connections in the queue.
func acceptNext(ln net.Listener) (net.Conn, error) {
	conn, err := ln.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	conn, err = acceptQueued(ln)
	if errors.Is(err, errQueueEmpty) {
		_ = ln.Close() // the accept queue is empty, so the close resets no connection
		return nil, net.ErrClosed
	}
	return conn, err
}

// acceptQueued accepts a connection from the kernel's accept queue without waiting. It returns errQueueEmpty if the
// queue is empty or the accept fails for another reason.
func acceptQueued(ln net.Listener) (net.Conn, error) {
	accepted := -1
	err := control(ln, func(fd int) (err error) {
		accepted, _, err = unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		return err
	})
	if err != nil {
		return nil, errQueueEmpty
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer func() { _ = file.Close() }() // net.FileConn duplicates the descriptor
	return net.FileConn(file)
}

// acquireSlot waits until it has acquired a slot for a connection. If all slots are in use, it evicts a connection.
// With RejectOverLimit, if no connection can be evicted, it acquires an overflow slot instead. It reports whether the
// slot is within the limit, that is, not an overflow slot.
func (t *Table) acquireSlot() (withinLimit bool) {
	for !t.limit.TryAcquire() {
		t.mu.Lock()
		evicted := t.evict()
		t.mu.Unlock()
		withinLimit = t.reject == nil || evicted
		slots := t.limit
		if !withinLimit {
			slots = t.overflow
		}
		ctx, cancel := context.WithTimeout(context.Background(), evictRetryInterval)
		err := slots.Acquire(ctx)
		cancel()
		if err == nil {
			return withinLimit
		}
	}
	return true
}

// startRejecting rejects and closes a connection in a new goroutine. The caller has acquired an overflow slot, which is
// released when the connection has been closed.
func (t *Table) startRejecting(conn net.Conn) {
	t.rejected.Add(1)
	go func() {
		defer t.overflow.Release()
		defer func() { _ = conn.Close() }() // the connection is abandoned even if the close fails
		t.reject(conn)
	}()
}
