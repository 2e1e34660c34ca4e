package scheduler

import (
	"time"
)

// giveUpLate answers requests that can no longer be served within their aim, at once.
func (g *Scheduler) giveUpLate(s *shard) {
	service := s.service()
	if s.inTime(g, service) {
		return
	}
	s.seen = 0 // the next to be given up is looked for anew
	for i := 0; i < len(s.held); {
		r := s.held[i]
		if service <= (r.due-g.now).Seconds() && g.now+2*g.tick < r.deadline {
			i++
		} else {
			g.giveUp(r)
		}
	}
}

// giveUp gives the final answer: a refusal where that is true, else a failure.
func (g *Scheduler) giveUp(r *request) {
	ran := r.ranAt != nil || r.outAt != nil
	harmless := !ran || r.harmless()
	hint := time.Duration(0)
	if g.set.Capabilities.RetryAfter {
		hint = min(g.aim, g.set.Capabilities.MaxRetryAfter)
	}
	if harmless && g.now < r.deadline {
		g.act(Reject{ID: r.ID, After: hint})
	} else {
		g.act(Fail{ID: r.ID})
	}
	g.leaveUnserved(r)
}

func (g *Scheduler) leaveUnserved(r *request) {
	if !r.over {
		g.unserved[try{r.Class, r.Volume, r.Key, r.Units}] = patience{r.from, r.from + r.class.Deadline}
	}
	g.finish(r)
}

// finish ends what is owed for a request; it is forgotten when no attempt is out either.
func (g *Scheduler) finish(r *request) {
	r.over = true
	if r.lane != nil {
		r.lane.drop(r)
	}
	if r.outAt == nil {
		r.volume.limit.Settle(r.ID)
		delete(g.requests, r.ID)
		g.leaveTurn(r)
	}
}
