package scheduler

func (g *Scheduler) takeRequest(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	g.taken = append(g.taken, g.now)
	class, plan := g.classes[e.Class], g.plans[e.Plan]
	if class == nil || plan == nil {
		g.log("unknown class or plan", "%s, %s", e.Class, e.Plan)
		g.act(Fail{ID: e.ID})
		return
	}
	r := &request{Request: e, class: class, deadline: g.now + e.Remaining}
	g.requests[e.ID] = r
	r.from = g.firstAsked(e, class)
	r.due = min(r.from+class.LatencyObjective, r.deadline)
	r.volume = g.volumeOf(e, plan)
	r.volume.arrived += e.Units
	r.part = g.due(r.volume, e.Units)
	r.value = class.PriorityWeight * plan.Price * r.part
	g.queueTurn(r)
	g.hold(r)
}

// try is what the tries of a client for one thing have in common.
type try struct {
	class, volume, key string
	units              float64
}

// patience is since when a client waits, and until when it may.
type patience struct{ from, till Time }

// firstAsked tells since when a client waits: the aim runs from its first try. A request like one that
// was not served, within the patience left of that, is its next try; any other with little time left
// comes from an impatient client. It errs where other clients ask for the same at once.
func (g *Scheduler) firstAsked(e Request, class *Class) Time {
	p, known := g.unserved[try{e.Class, e.Volume, e.Key, e.Units}]
	if known && g.now+e.Remaining <= p.till {
		return p.from
	} else if e.Retry {
		return min(g.now, g.now+e.Remaining-class.Deadline)
	}
	return g.now
}

func (g *Scheduler) hold(r *request) {
	id := r.Shard
	if id < 0 {
		id = g.placeNew(r)
	}
	g.shardOf(id).hold(g, r)
}
