package balancer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// What a broker judges of a node rests on few answers, so it goes by intervals: a weight falls by what the answers make sure
// of, and no further.
const (
	reckonEach = time.Second            // weights are reckoned anew, and at once when a node falls silent, errs or comes back
	silentEach = 100 * time.Millisecond // the least between two findings of one node's silence
	memory     = 20 * time.Second       // over which answers fade
	surely     = 1.96                   // standard errors
	likeSpeed  = 1.25                   // a node within this of the shard's usual time is as quick as the others
	usualBad   = 0.1                    // of answers that are errors, or turned away: below it nothing is judged
	priorOK    = 9.0                    // answers that a new node is taken to have given, of which priorBad were errors
	priorBad   = 0.5
	leastSpeed = 0.05        // of its weight that a slow node keeps
	trialFirst = time.Second // after which a silent node is asked once more, then twice that, each time, up to
	trialMost  = 30 * time.Second
	regained   = 0.5              // of its weight that a silent node has with its first answer; it has all with the second
	wordTime   = 10 * time.Second // for which a peer's word counts
	wordsWant  = 2                // peers that must say so
	leastTurn  = time.Second
	mostTurn   = 10 * time.Second
	wordMost   = 64          // nodes of which words are kept
	tellEach   = time.Second // the least between two messages to peers
	tellPeers  = 4
	tellNodes  = 60 // in a message of 256 bytes at the most
)

// judgement is what was seen of a node. Counts fade over memory.
type judgement struct {
	mean        float64 // of the logarithms of its times, when judged last
	ok, bad     float64
	times       float64 // answers with a time, and the sum and square sum of their logarithms
	sum, square float64
	faded       Time
	heardAt     Time          // the last answer
	silentAt    Time          // when it was last found silent, 0 for not
	pause       time.Duration // between two trials
	trialAt     Time          // the next
	regain      float64       // of a node that answers again, the factor that it has earned
	why         string
	words       []word
}

type word struct {
	from int
	at   Time
}

func (j *judgement) fade(now Time, e *evidence) {
	if span := now - j.faded; span > 0 {
		if span != e.span { // most nodes were faded last at one time
			e.span, e.by = span, math.Exp(-span.Seconds()/memory.Seconds())
		}
		by := e.by
		j.ok, j.bad, j.times, j.sum, j.square = j.ok*by, j.bad*by, j.times*by, j.sum*by, j.square*by
		j.faded = now
	}
}

// Unresponsive tells whether the node was found silent and has not regained its place.
func (j *judgement) Unresponsive() bool { return j.silentAt > 0 }

// Reason tells in a word what the node's weight rests on.
func (m *Replica) Reason() string { return cmp.Or(m.why, "sound") }

// Factor is what judging leaves of the node's weight.
func (m *Replica) Factor() float64 { return m.factor }

// RecordAnswer notes an answer of a node, after so long.
func (g *Balancer) RecordAnswer(now Time, m *Replica, took time.Duration) {
	m.fade(now, &g.evidence)
	m.ok++
	if took > 0 {
		l := math.Log(took.Seconds())
		m.times++
		m.sum += l
		m.square += l * l
	}
	m.heardAt = now
	if m.Unresponsive() {
		if m.regain > 0 {
			m.silentAt, m.pause, m.regain = 0, 0, 0
		} else {
			m.regain, m.trialAt = regained, now
			g.note(&g.alive, m.Name)
		}
		m.words = nil
		g.stale = true
	}
}

// RecordFailure notes an error, a cut connection or a turned-away attempt. alive tells that the node itself answered.
func (g *Balancer) RecordFailure(now Time, m *Replica, alive bool) {
	m.fade(now, &g.evidence)
	m.bad++
	if alive {
		m.heardAt = now
	}
	if m.Unresponsive() {
		g.postpone(now, m)
	}
	g.stale = true
}

// postpone sets the next trial of a silent node, apart from those of other brokers.
func (g *Balancer) postpone(now Time, m *Replica) {
	m.regain = 0
	m.pause = min(trialMost, max(trialFirst, 2*m.pause))
	m.trialAt = now + m.pause/2 + time.Duration(unit(hash(g.opt.Name, m.Name, uint64(now)))*float64(m.pause))
}

// turn is how long it takes until each node of the cover has had a request: over such a time brokers try a node again of which a
// peer says that it answers, which then gets about its usual load.
func (g *Balancer) turn() time.Duration {
	return min(mostTurn, max(leastTurn, time.Duration(float64(len(g.used))/max(0.1, g.rate)*float64(time.Second))))
}

// note remembers a node that peers are to be told of.
func (g *Balancer) note(list *[]string, name string) {
	if !slices.Contains(*list, name) && len(*list) < tellNodes {
		*list = append(*list, name)
	}
}

// RecordUnresponsive notes that a node has left an attempt without a word for far longer than usual, while others of the shard answer.
func (g *Balancer) RecordUnresponsive(now Time, m *Replica) {
	if m.Unresponsive() && now-m.silentAt < silentEach {
		return
	}
	if !m.Unresponsive() {
		g.note(&g.silent, m.Name)
	}
	m.silentAt = max(1, now)
	g.alarmAt = m.silentAt
	g.postpone(now, m)
	g.stale = true
}

// judge reckons the factor of each node, and bounds what they take away together.
func (g *Balancer) judge(now Time) {
	usual := g.usualTime(now)
	whole, away := 0.0, 0.0
	for _, m := range g.used {
		m.before = m.factor
		m.factor, m.why = g.factor(now, m, usual)
		whole += m.size()
		away += m.size() * (1 - m.factor)
	}
	if most := g.opt.MaxEjectedShare * whole; away > most {
		for _, m := range g.used {
			if m.factor < 1 {
				m.factor = 1 - (1-m.factor)*most/away
				m.why += ", bounded"
			}
		}
	}
	for _, m := range g.used {
		g.place(now, m)
	}
}

// place has a node's turn come as much later or sooner as its weight is less or more than it was. One that has most of its weight
// back at once comes at a drawn place of its next turn: other brokers find the same at the same time.
func (g *Balancer) place(now Time, m *Replica) {
	if m.before == m.factor {
		return
	}
	m.at = g.now + max(0, m.at-g.now)*m.before/m.factor
	if m.factor > 2*m.before {
		m.at = g.now + unit(hash(g.opt.Name, m.Name, uint64(now)))/m.weight()
	}
}

func (g *Balancer) factor(now Time, m *Replica, usual float64) (float64, string) {
	m.fade(now, &g.evidence)
	if m.Unresponsive() {
		return max(g.opt.TrialShare, m.regain), "silent"
	}
	if g.doubted(now, m) {
		return max(g.opt.TrialShare, 0.25), "peers find it silent"
	}
	factor, why := 1.0, ""
	if m.bad > 0.5 {
		// the lower end of the 90% interval of its rate of errors
		if low := (distuv.Beta{Alpha: priorBad + m.bad, Beta: priorOK + m.ok}).Quantile(0.05); low > usualBad {
			factor, why = max(g.opt.TrialShare, math.Pow(1-low, 2)), "errors"
		}
	}
	if m.times > 2 && !math.IsNaN(usual) {
		mean := m.sum / m.times
		if surplus := mean - usual; surplus > likeLog { // mostly not: the rest is spared
			spread := math.Sqrt(max(0.04, m.square/m.times-mean*mean) / m.times)
			if surplus-surely*spread > likeLog {
				factor, why = max(leastSpeed, factor*math.Exp(-surplus)), "slow"
			}
		}
	}
	return factor, why
}

// usualTime is the median over the nodes of the mean logarithm of their times, NaN without enough of them. A slow or quick
// minority does not move it.
func (g *Balancer) usualTime(now Time) float64 {
	if len(g.ranked) != len(g.used) {
		g.ranked = append(g.ranked[:0], g.used...)
	}
	known := 0
	for i, m := range g.ranked { // they are nearly in order since the last time
		m.fade(now, &g.evidence)
		if m.mean = math.Inf(1); m.times > 1 {
			m.mean = m.sum / m.times
			known++
		}
		for ; i > 0 && g.ranked[i-1].mean > m.mean; i-- {
			g.ranked[i] = g.ranked[i-1]
		}
		g.ranked[i] = m
	}
	if known < 3 {
		return math.NaN()
	}
	return g.ranked[(known-1)/2].mean
}

var likeLog = math.Log(likeSpeed)

// ---- what peers tell

// evidence is what is told and heard of silent nodes, and what judging keeps between two times.
type evidence struct {
	reckonAt Time
	ranked   []*Replica // the cover by its nodes' mean times
	silent   []string   // to be told
	alive    []string
	toldAt   Time
	span     Time // of the last fading, and its factor
	by       float64
	alarmAt  Time // when a node was last found silent, by this broker or by peers
}

// doubted tells whether enough peers lately found a node silent of which this broker has heard nothing since.
func (g *Balancer) doubted(now Time, m *Replica) bool {
	m.words = slices.DeleteFunc(m.words, func(w word) bool { return now-w.at > wordTime })
	count := 0
	for _, w := range m.words {
		if w.at >= m.heardAt {
			count++
		}
	}
	return count >= wordsWant
}

// The first bytes of messages to peers.
const (
	GossipUnresponsive = 4 // nodes that were found silent
	GossipRecovered    = 5 // nodes found silent that answered again
)

// GossipMessages returns the messages that are due to a few peers: the nodes found silent since the last, and those that answered again, as
// hashes of their names. They go out once a second at the most.
func (g *Balancer) GossipMessages(now Time) (messages [][]byte) {
	if g.opt.NoGossip || len(g.silent)+len(g.alive) == 0 || g.toldAt > 0 && now-g.toldAt < tellEach {
		return nil
	}
	for kind, names := range [][]string{g.silent, g.alive} {
		if len(names) == 0 {
			continue
		}
		data := []byte{GossipUnresponsive + byte(kind)}
		for _, name := range names {
			data = binary.BigEndian.AppendUint32(data, uint32(hash("", name, 3)))
		}
		messages = append(messages, data)
	}
	g.silent, g.alive, g.toldAt = g.silent[:0], g.alive[:0], now
	return messages
}

// GossipPeers draws the few that are told, in whose place they stand among all: anew for each message, so that over some messages
// all hear.
func (g *Balancer) GossipPeers(now Time) []int {
	var peers []int
	for k := range uint64(4 * tellPeers) {
		p := int(hash(g.opt.Name, "", uint64(now)+k) % uint64(max(1, g.opt.Brokers)))
		if p != g.opt.Ordinal && !slices.Contains(peers, p) && len(peers) < tellPeers {
			peers = append(peers, p)
		}
	}
	return peers
}

// ReceiveGossip takes a peer's message. One peer's word alone lowers no weight, and all together no more than Options.MaxEjectedShare; that a node
// answers again only has it tried sooner.
func (g *Balancer) ReceiveGossip(now Time, from int, data []byte) {
	if g.opt.NoGossip || len(data) < 5 || data[0] != GossipUnresponsive && data[0] != GossipRecovered || (len(data)-1)%4 != 0 || len(data) > 1+4*tellNodes {
		return
	}
	for at := 1; at < len(data); at += 4 {
		id := binary.BigEndian.Uint32(data[at:])
		for _, m := range g.all {
			if m.id != id {
				continue
			}
			m.words = slices.DeleteFunc(m.words, func(w word) bool { return w.from == from })
			if data[0] == GossipRecovered {
				m.words = nil
				if m.Unresponsive() && m.regain == 0 {
					m.trialAt = min(m.trialAt, now+time.Duration(unit(hash(g.opt.Name, m.Name, uint64(now)))*float64(g.turn())))
				}
				continue
			}
			if m.words = append(m.words, word{from, now}); len(m.words) > wordMost {
				m.words = m.words[1:]
			}
			if g.doubted(now, m) {
				g.alarmAt = max(1, now)
			}
			g.stale = true
		}
	}
}
