package agreement

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"junctionwharf/clusterconfig"
)

var discardLog = slog.New(slog.DiscardHandler)

// Many brokers renew within a few milliseconds. Their renewals must be sent upstream in one batch, which is due
// batchDelay after its first renewal was added.
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
		t.Errorf("took %+v, left %+v; want two renewals and an empty batch", m, b)
	}
}

// More calls and renewals arrive before the batch is sent. The batch must stay bounded.
func TestBatchIsBounded(t *testing.T) {
	var b batch
	for range 2 * maxBatchCalls {
		b.add(upstreamMessage{Calls: []operatorCall{{Command: commandMembers}}}, 0)
	}
	for range 2 * maxRoutes {
		b.add(upstreamMessage{Renewals: []clusterconfig.Renewal{{Holder: "a"}}}, 0)
	}
	if m := b.take(); len(m.Calls) != maxBatchCalls || len(m.Renewals) > maxRoutes {
		t.Errorf("%d calls and %d renewals in a batch, want %d and at most %d",
			len(m.Calls), len(m.Renewals), maxBatchCalls, maxRoutes)
	}
}

// The leader does not answer, and operators send more calls. The number of pending calls must stay bounded. A late
// reply to a dropped call and a second reply to a call must have no effect.
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
		t.Errorf("%d pending calls, want at most %d", len(p.callbacks), maxBatchCalls)
	}
	p.finish(operatorReply{Number: first})
	if answered != 0 {
		t.Error("a dropped call was answered")
	}
	p.finish(operatorReply{Number: last})
	p.finish(operatorReply{Number: last})
	if answered != 1 {
		t.Errorf("the callback ran %d times, want once", answered)
	}
}
