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
	// acceptRetryDelay is the pause after the system refused to accept, most often for want of descriptors. Lower, the
	// broker would spin; higher, clients would wait longer once descriptors are free.
	acceptRetryDelay = 10 * time.Millisecond
	// evictRetryInterval is how long a newcomer waits for a slot before the table looks for one to evict again.
	evictRetryInterval = 50 * time.Millisecond
)

// errQueueEmpty says that the kernel's accept queue holds no connection.
var errQueueEmpty = errors.New("no connection waits to be accepted")

// Accept accepts a connection for which there is a slot. If all are taken it evicts a connection; if none can be
// evicted it rejects the newcomer, or waits without RejectOverLimit. Each connection that it returns must be given
// back with Remove. It returns net.ErrClosed after Close.
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

// setListener notes the listener for StopAccepting and Close, which may have come before.
func (t *Table) setListener(ln net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = ln
	if ln != nil && t.phase >= closed {
		t.endListenerAfter(0)
	}
}

// acceptNext accepts a connection. Behind the listener's deadline it takes what waits in the kernel's accept queue and
// then closes the listener: closing it first would reset those connections.
func acceptNext(ln net.Listener) (net.Conn, error) {
	conn, err := ln.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	conn, err = acceptQueued(ln)
	if errors.Is(err, errQueueEmpty) {
		_ = ln.Close() // no connection is left that it could lose
		return nil, net.ErrClosed
	}
	return conn, err
}

// acceptQueued accepts a connection from the kernel's accept queue without waiting for one.
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
	defer func() { _ = file.Close() }() // net.FileConn has a descriptor of its own
	return net.FileConn(file)
}

// acquireSlot takes a slot for a connection. With RejectOverLimit, if nobody can be evicted, it takes an overflow
// slot instead. It reports whether the slot is within the limit.
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

// startRejecting answers and ends a connection that holds an overflow slot. It does not block.
func (t *Table) startRejecting(conn net.Conn) {
	t.rejected.Add(1)
	go func() {
		defer t.overflow.Release()
		defer func() { _ = conn.Close() }() // it is given up in either case
		t.reject(conn)
	}()
}
