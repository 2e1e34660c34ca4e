package pool

import (
	"context"
	"fmt"
	"net"
	"time"

	"junctionwharf/broker"
)

// ExchangeFunc talks to a node on behalf of one attempt: it sends the request and reads the answer. After an error the
// connection is closed.
type ExchangeFunc func(*Exchange) (broker.Result, error)

// Start begins an exchange with the node at an address and returns at once. A timeout above 0 bounds the exchange from
// the moment it has its connection. onWritten, unless it is nil, is called once the exchange is fully written; onResult
// gets the result, unless the exchange is stopped first.
func (p *Pool) Start(address string, call ExchangeFunc, timeout time.Duration, onWritten func(),
	onResult func(broker.Result)) broker.Handle {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Exchange{started: time.Now(), onWritten: onWritten, onResult: onResult, ctx: ctx, cancel: cancel}
	go p.run(e, address, call, timeout)
	return e
}

// run carries an exchange out from its connection to its result.
func (p *Pool) run(e *Exchange, address string, call ExchangeFunc, timeout time.Duration) {
	defer e.cancel()
	var result broker.Result
	conn, err := p.acquire(e.ctx, address)
	used := err == nil && e.begin(conn)
	switch {
	case used:
		result, err = p.call(e, conn, call, timeout)
	case err == nil:
		err = errSendingStopped
	}
	wanted, reusable := e.finish()
	if conn != nil {
		// Unread bytes would be taken for the answer to a later request.
		reusable = reusable && err == nil && conn.reader.Buffered() == 0
		p.giveBack(address, conn, !used || reusable)
	}
	if err != nil {
		result = broker.Result{Err: &broker.AttemptError{Progress: e.currentProgress(), Err: err}}
	}
	if wanted {
		e.onResult(result)
	}
}

// call runs an exchange on its connection. A panic in it becomes its error: it must not end the process.
func (p *Pool) call(e *Exchange, conn net.Conn, call ExchangeFunc, timeout time.Duration) (r broker.Result, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
			p.options.Logger.Error("panic", "front", "nodes", "panic", cause)
		}
	}()
	if timeout > 0 {
		_ = conn.SetDeadline(time.Now().Add(timeout)) // fails on a closed connection only, as the exchange then does
	}
	return call(e)
}

// acquire returns an idle connection or a new one. While a new one comes up, one that becomes idle serves as well.
func (p *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	var pending *dial
	for {
		conn, wait, changed := p.takeIdle(address, pending != nil)
		if conn != nil {
			if !p.usable(conn) {
				p.drop(conn)
				continue
			}
			if pending != nil {
				pending.release()
			}
			return conn, nil
		}
		if pending == nil {
			pending = p.startDial(ctx, address)
		}
		if result, ended := pending.wait(wait, changed); ended {
			return result.conn, result.err
		}
	}
}

// giveBack ends an exchange's use of its connection.
func (p *Pool) giveBack(address string, conn *connection, reusable bool) {
	if !reusable {
		p.drop(conn)
		return
	}
	_ = conn.SetDeadline(time.Time{}) // fails on a closed connection only, which is found out before its next use
	p.putIdle(address, conn)
}

// FailAttempt returns the handle of an attempt that is never begun, and reports why to onResult.
func FailAttempt(err error, onResult func(broker.Result)) broker.Handle {
	go onResult(broker.Result{Err: &broker.AttemptError{Progress: broker.NotConnected, Err: err}})
	return failedAttempt{}
}

// failedAttempt is the handle of an attempt that was never begun.
type failedAttempt struct{}

func (failedAttempt) Stop() broker.Progress { return broker.NotConnected }
func (failedAttempt) StopSending()          {}
func (failedAttempt) CancelUnlessWritten()  {}
