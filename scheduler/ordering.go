package scheduler

import (
	"slices"
)

// turn keeps requests of ordered classes with one key in the order of arrival.
type turn struct {
	waiting []*request
	restTo  Time
}

func (g *Scheduler) queueTurn(r *request) {
	if !r.class.Ordered || r.Key == "" {
		return
	}
	if r.turn = g.turns[r.Key]; r.turn == nil {
		r.turn = &turn{}
		g.turns[r.Key] = r.turn
	}
	r.turn.waiting = append(r.turn.waiting, r)
}

func (g *Scheduler) hasTurn(r *request) bool {
	return r.turn == nil || r.turn.waiting[0] == r && (g.now >= r.turn.restTo || r.attempts > 0)
}

func (g *Scheduler) leaveTurn(r *request) {
	if r.turn == nil {
		return
	}
	at := slices.Index(r.turn.waiting, r)
	r.turn.waiting = slices.Delete(r.turn.waiting, at, at+1)
}
