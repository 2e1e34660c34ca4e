package agreement

import "math/rand/v2"

// pendingCalls holds the calls of this broker that the leader has not answered. The service goroutine owns it.
type pendingCalls struct {
	number    uint64 // of the latest call; starts at random, so that replies to an earlier process match no call
	callbacks map[uint64]func(operatorReply)
}

func newPendingCalls(random *rand.Rand) pendingCalls {
	return pendingCalls{number: random.Uint64() >> 1, callbacks: map[uint64]func(operatorReply){}}
}

// add registers a call and returns its number. If maxBatchCalls calls are pending, the leader apparently does not
// answer, and add first drops all of them. The callback of a dropped call is never called.
func (p *pendingCalls) add(callback func(operatorReply)) (number uint64) {
	if len(p.callbacks) >= maxBatchCalls {
		clear(p.callbacks)
	}
	p.number++
	p.callbacks[p.number] = callback
	return p.number
}

// finish passes a reply to the callback of its call. It ignores a reply whose call is not pending.
func (p *pendingCalls) finish(r operatorReply) {
	callback := p.callbacks[r.Number]
	if callback == nil {
		return
	}
	delete(p.callbacks, r.Number)
	callback(r)
}

// callLeader sends a call to the leader. callback receives the reply, if one arrives.
func (s *Service) callLeader(c operatorCall, callback func(operatorReply)) {
	c.Broker = s.options.Name
	c.Number = s.pendingCalls.add(callback)
	s.sendUpstream(upstreamMessage{Calls: []operatorCall{c}})
}
