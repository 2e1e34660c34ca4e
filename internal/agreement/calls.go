package agreement

import "math/rand/v2"

// pendingCalls are the calls of this broker that the leader has not answered. The service goroutine owns it.
type pendingCalls struct {
	number    uint64 // of the latest; starts at random, so that replies to an earlier process match nothing
	callbacks map[uint64]func(operatorReply)
}

func newPendingCalls(random *rand.Rand) pendingCalls {
	return pendingCalls{number: random.Uint64() >> 1, callbacks: map[uint64]func(operatorReply){}}
}

// add returns the number of a new call. If too many are open, nobody answers: all of them are forgotten.
func (p *pendingCalls) add(callback func(operatorReply)) (number uint64) {
	if len(p.callbacks) >= maxBatchCalls {
		clear(p.callbacks)
	}
	p.number++
	p.callbacks[p.number] = callback
	return p.number
}

// finish hands a reply to the caller, if it still waits.
func (p *pendingCalls) finish(r operatorReply) {
	callback := p.callbacks[r.Number]
	if callback == nil {
		return
	}
	delete(p.callbacks, r.Number)
	callback(r)
}

// callLeader sends a call to the leader; callback is called with the reply, if one comes.
func (s *Service) callLeader(c operatorCall, callback func(operatorReply)) {
	c.Broker = s.options.Name
	c.Number = s.pendingCalls.add(callback)
	s.sendUpstream(upstreamMessage{Calls: []operatorCall{c}})
}
