package pool

import (
	"context"
	"fmt"
	"net"
	"time"

	"junctionwharf/broker"
)

// ExchangeFunc performs the exchange of one attempt with a node: it sends the request and reads the answer. After an
// error the connection is closed.
type ExchangeFunc func(*Exchange) (broker.Result, error)

// Start starts an exchange with the node at address and returns immediately. A timeout above 0 bounds the exchange,
// counted from when the exchange has its connection. onWritten, if not nil, is called once the request is fully
// written. onResult receives one result, unless Stop is called first.
func (p *Pool) Start(address string, call ExchangeFunc, timeout time.Duration, onWritten func(),
	onResult func(broker.Result)) broker.Handle {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Exchange{started: time.Now(), onWritten: onWritten, onResult: onResult, ctx: ctx, cancel: cancel}
	go p.run(e, address, call, timeout)
	return e
}

// run performs an exchange, from acquiring its connection to reporting its result.
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
		// Unread bytes would be read as the answer to a later request.
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

// call runs an exchange on its connection. It turns a panic into an error, so that the panic does not end the process.
func (p *Pool) call(e *Exchange, conn net.Conn, call ExchangeFunc, timeout time.Duration) (r broker.Result, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
			p.options.Logger.Error("panic", "front", "nodes", "panic", cause)
		}
	}()
	if timeout > 0 {
		_ = conn.SetDeadline(time.Now().Add(timeout)) // fails only on a closed connection, as does the exchange
	}
	return call(e)
}

// acquire returns an idle or a new connection. If another connection becomes usable during the dial, acquire returns
// that connection.
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

// giveBack returns a connection to the pool after an exchange, or closes it if it is not reusable.
func (p *Pool) giveBack(address string, conn *connection, reusable bool) {
	if !reusable {
		p.drop(conn)
		return
	}
	_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection, which is detected before the next use
	p.putIdle(address, conn)
}

// FailAttempt reports err to onResult for an attempt that is never started. It returns the handle of that attempt.
func FailAttempt(err error, onResult func(broker.Result)) broker.Handle {
	go onResult(broker.Result{Err: &broker.AttemptError{Progress: broker.NotConnected, Err: err}})
	return failedAttempt{}
}

// failedAttempt is the handle of an attempt that was never started.
type failedAttempt struct{}

func (failedAttempt) Stop() broker.Progress { return broker.NotConnected }
func (failedAttempt) StopSending()          {}
func (failedAttempt) CancelUnlessWritten()  {}
