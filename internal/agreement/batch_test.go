package agreement

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"junctionwharf/clusterconfig"
)

var discardLog = slog.New(slog.DiscardHandler)

// Renewals of many brokers come within a few milliseconds. They must go up together, the first waiting for
// batchDelay.
func TestBatchIsFlushedAfterItsFirstMessage(t *testing.T) {
	var b batch
	renewal := upstreamMessage{Renewals: []clusterconfig.Renewal{{Holder: "a"}}}
	if b.due(1 << 60) {
		t.Error("an empty batch is due")
	}
	b.add(renewal, 100)
	b.add(renewal, 200)
	flushAt := 100 + batchDelay.Microseconds()
	if b.due(flushAt-1) || !b.due(flushAt) {
		t.Errorf("due at %d, want %d", b.flushAt, flushAt)
	}
	if m := b.take(); len(m.Renewals) != 2 || !b.empty() || b.due(1<<60) {
		t.Errorf("%+v, left %+v", m, b)
	}
}

// The way up is blocked while calls keep coming. A batch must not grow without bound.
func TestBatchIsBounded(t *testing.T) {
	var b batch
	for range 2 * maxBatchCalls {
		b.add(upstreamMessage{Calls: []operatorCall{{Command: commandMembers}}}, 0)
	}
	for range 2 * maxRoutes {
		b.add(upstreamMessage{Renewals: []clusterconfig.Renewal{{Holder: "a"}}}, 0)
	}
	if m := b.take(); len(m.Calls) != maxBatchCalls || len(m.Renewals) > maxRoutes {
		t.Errorf("%d calls, %d renewals", len(m.Calls), len(m.Renewals))
	}
}

// No leader answers, and operators call again and again. What waits must stay bounded; a late reply to a call that was
// forgotten must do nothing.
func TestPendingCallsAreBounded(t *testing.T) {
	p := newPendingCalls(rand.New(rand.NewPCG(1, 1)))
	answered := 0
	callback := func(operatorReply) { answered++ }
	first := p.add(callback)
	for range maxBatchCalls {
		p.add(callback)
	}
	last := p.number
	if len(p.callbacks) > maxBatchCalls {
		t.Errorf("%d calls wait", len(p.callbacks))
	}
	p.finish(operatorReply{Number: first})
	if answered != 0 {
		t.Error("a forgotten call was answered")
	}
	p.finish(operatorReply{Number: last})
	p.finish(operatorReply{Number: last})
	if answered != 1 {
		t.Errorf("answered %d times", answered)
	}
}
