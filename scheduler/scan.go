package scheduler

import (
	"cmp"
	"slices"
)

// dispatch sends what may leave of those held, each time earliest due first: paid requests, then unpaid
// ones into debt, then those that were shed.
func (g *Scheduler) dispatch(s *shard, l *look) {
	for l.pass = range 3 {
		l.begin()
		for r := l.now(); r != nil; r = l.now() {
			if r.shed != (l.pass == 2) || !g.pays(r, l.pass > 0) {
				l.skip(r)
			} else if n := g.pick(s, r); n != nil {
				s.drop(r)
				g.send(r, n)
			} else if s.alike(g) || s.packed(g) {
				return // nor will any other find room
			} else {
				l.stay()
			}
		}
	}
}

// look is one way through what a shard holds, earliest due first, in up to three passes with rules of their
// own. Between two points at which all shards are stirred the levels of volumes only fall: who could not pay,
// still can't. So each pass begins behind those that it passed by before, and with those that came there
// since.
type look struct {
	s      *shard
	only   bool // those that came since the last look
	pass   int
	late   bool // among those that came before the mark
	i      int
	stayed bool // one that could pay was passed by
}

// mark is a place in the order of what is held: all before it could not pay, but for those that came since.
type mark struct {
	due Time
	id  uint64
}

func atMark(r *request, m mark) int {
	return cmp.Or(cmp.Compare(r.due, m.due), cmp.Compare(r.ID, m.id))
}

// look begins a look, at all that is held or, if the last one moved nothing and nothing happened since that
// could move what it saw, at what came since.
func (s *shard) look(g *Scheduler) *look {
	s.way = look{s: s, only: !g.plain && !s.moved && s.inTime(g, s.service()) && s.alike(g)}
	if !s.way.only && (s.marked != g.stirred+1 || s.fickle > 0 || g.plain) {
		s.marked, s.marks = g.stirred+1, [3]mark{}
		clear(s.late)
		s.late = s.late[:0]
	}
	return &s.way
}

func (l *look) begin() { l.late, l.i, l.stayed = !l.only, 0, false }

// now is the request that is looked at, nil behind the last. It is gone through skip, stay, or by being
// dropped.
func (l *look) now() *request {
	s := l.s
	list := s.held
	switch {
	case l.only:
		list = s.fresh
	case l.late:
		if l.i < len(s.late) && atMark(s.late[l.i], s.marks[l.pass]) < 0 {
			return s.late[l.i]
		}
		l.late = false
		l.i, _ = slices.BinarySearchFunc(s.held, s.marks[l.pass], atMark)
	}
	if l.i < len(list) {
		return list[l.i]
	}
	return nil
}

// skip passes by one that can't pay in this pass.
func (l *look) skip(r *request) {
	l.i++
	if !l.only && !l.late && !l.stayed {
		l.s.marks[l.pass] = mark{r.due, r.ID + 1}
	}
}

// stay passes by one that can pay, and found no node.
func (l *look) stay() {
	l.i++
	l.stayed = l.stayed || !l.late
}
