package broker

import (
	"context"
	"io"
	"log/slog"
)

// execute executes one effect. For a StopAttempt it returns the resulting event, else nil.
func (l *Loop) execute(effect Effect, now Micros) Event {
	switch e := effect.(type) {
	case StartAttempt:
		l.startAttempt(e)
	case StopAttempt:
		return l.stopAttempt(e)
	case StopSending:
		if h := l.handles[attemptKey{e.ID, e.Number}]; h != nil {
			h.StopSending()
		}
	case CancelUnlessWritten:
		if h := l.handles[attemptKey{e.ID, e.Number}]; h != nil {
			h.CancelUnlessWritten()
		}
	case Respond:
		l.respond(e)
	case SendToPeer:
		if l.dependencies.SendToPeer != nil {
			l.Metrics.peerSent.Add(1)
			l.dependencies.SendToPeer(e.Peer, e.Data)
		}
	case CheckNodeHealth:
		l.Metrics.healthChecks.Add(1)
		l.transport.CheckHealth(e.Address, func(r Result) {
			l.Post(HealthCheckEnded{Node: e.Node, Latency: l.clock.Now() - now, Result: r})
		})
	case CloseIdle:
		l.transport.CloseIdle(e.Address)
	case DiscardValue:
		closeValue(e.Value)
	case Log:
		l.log(e)
	}
	return nil
}

func (l *Loop) startAttempt(e StartAttempt) {
	e.Attempt.OnWritten = func() { l.Metrics.attempts.Add(1) }
	transport := l.transport
	if own := e.Attempt.Request.Transport; own != nil {
		transport = own
	}
	l.handles[attemptKey{e.ID, e.Number}] = transport.Start(e.Attempt, func(r Result) {
		l.Post(AttemptEnded{ID: e.ID, Attempt: e.Number, Result: r})
	})
}

// stopAttempt ends an attempt. An attempt without a handle, as after a panic in Transport.Start, is reported as fully
// written: its request may have run, and any other report could cause a second execution.
func (l *Loop) stopAttempt(e StopAttempt) Event {
	l.Metrics.stopped.Add(1)
	progress := FullyWritten
	if h := l.handles[attemptKey{e.ID, e.Number}]; h != nil {
		progress = h.Stop()
		delete(l.handles, attemptKey{e.ID, e.Number})
	}
	return AttemptStopped{ID: e.ID, Attempt: e.Number, Progress: progress}
}

// respond passes the final answer to the client, or discards its value if the client is no longer registered. A request
// with a Streaming value stays open until the delivery of the value ends.
func (l *Loop) respond(e Respond) {
	c, waits := l.clients[e.ID]
	if !waits {
		closeValue(e.Response.Value)
		l.Post(StreamEnded{ID: e.ID})
		return
	}
	if value, streams := e.Response.Value.(Streaming); streams {
		delete(l.clients, e.ID)
		value.OnEnd(func(complete bool) { l.streamEnded(e.ID, c.class, complete) })
	} else {
		l.forgetClient(e.ID)
		l.Metrics.countResponse(c.class, e.Response.Verdict)
	}
	c.reply(e.Response)
}

func (l *Loop) streamEnded(id uint64, class string, complete bool) {
	l.Metrics.open.Add(-1)
	if complete {
		l.Metrics.countResponse(class, Served)
	} else {
		l.Metrics.countResponse(class, Failed)
	}
	l.Post(StreamEnded{ID: id, Complete: complete})
}

// log writes a log line of the core at level info.
func (l *Loop) log(line Log) {
	l.dependencies.Log.LogAttrs(context.Background(), slog.LevelInfo, line.Message, line.Attributes...)
}

// closeValue closes a value that no client will receive. An error of Close is ignored, because the node's connection
// is dropped anyway.
func closeValue(value any) {
	if v, is := value.(io.Closer); is {
		_ = v.Close()
	}
}
