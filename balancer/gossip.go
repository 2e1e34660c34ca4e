package balancer

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// reportTime is for how long a peer's report counts. Higher, a replica that is back keeps its low weight
	// for longer; lower, peers with few requests never agree.
	reportTime = 10 * time.Second
	// reportsToDoubt is how many peers must report a replica. Higher, a dead one is found late; lower, one
	// broker without a path moves load of all others.
	reportsToDoubt = 2
	// reportsMax bounds the reports of one replica. Higher, it costs memory; lower, reports are lost in a
	// large tier.
	reportsMax = 64
	// gossipPeriod is the least time between two messages of a broker. Higher, peers hear late; lower, an
	// outage of a zone floods them.
	gossipPeriod = time.Second
	// gossipFanOut is how many peers a message goes to. Higher, messages cost more; lower, some peers hear
	// late.
	gossipFanOut = 4
	// drawsPerPeer bounds the draws of distinct peers. Higher or lower it makes no difference but in tiers of
	// a few brokers.
	drawsPerPeer = 4
	// gossipNames is how many replicas a message names: it stays below 256 bytes. Higher, it may not fit a
	// datagram; lower, an outage of a zone is reported only in part.
	gossipNames = 60
	// returnTimeMin and returnTimeMax bound the time over which brokers try a replica again that a peer says
	// is back. Higher, it takes its load again later; lower, all brokers rush at it.
	returnTimeMin = time.Second
	returnTimeMax = 10 * time.Second
	// minReturnRate is the least requests a second that this time is worked out from, as returnTimeMax bounds
	// it.
	minReturnRate = 0.1
)

// A message names replicas of one kind: a byte that tells the kind, then hashes of 4 bytes each, big-endian.
const (
	GossipUnresponsive = 4 // replicas that were found unresponsive
	GossipRecovered    = 5 // unresponsive replicas that answered again
	gossipHashBytes    = 4
)

// gossipReport is a peer's report that a replica is unresponsive.
type gossipReport struct {
	from int // ordinal of the peer
	at   Time
}

// gossipQueue holds the names of replicas that peers are to be told of.
type gossipQueue struct {
	unresponsive []string
	recovered    []string
	sentAt       Time // of the last message, 0 for none
}

// gossipHash is a replica's name in messages.
func gossipHash(replica string) uint32 { return uint32(hash("", replica, saltGossip)) }

// appendName adds a name unless it is there, or a message is full.
func appendName(names []string, name string) []string {
	if slices.Contains(names, name) || len(names) >= gossipNames {
		return names
	}
	return append(names, name)
}

// isDoubted tells whether enough peers lately found a replica unresponsive of which this broker has heard
// nothing since.
func (r *Replica) isDoubted(now Time) bool {
	if len(r.reports) == 0 {
		return false
	}
	r.reports = slices.DeleteFunc(r.reports, func(report gossipReport) bool { return now-report.at > reportTime })
	count := 0
	for _, report := range r.reports {
		if report.at >= r.lastAnswer {
			count++
		}
	}
	return count >= reportsToDoubt
}

// GossipMessages returns the messages that are due to a few peers: the replicas found unresponsive since the
// last, and those that answered again. There are some once in gossipPeriod at the most.
func (b *Balancer) GossipMessages(now Time) (messages [][]byte) {
	queue := &b.gossip
	if b.options.NoGossip || len(queue.unresponsive)+len(queue.recovered) == 0 {
		return nil
	}
	if queue.sentAt > 0 && now-queue.sentAt < gossipPeriod {
		return nil
	}
	if len(queue.unresponsive) > 0 {
		messages = append(messages, encodeGossip(GossipUnresponsive, queue.unresponsive))
	}
	if len(queue.recovered) > 0 {
		messages = append(messages, encodeGossip(GossipRecovered, queue.recovered))
	}
	queue.unresponsive = queue.unresponsive[:0]
	queue.recovered = queue.recovered[:0]
	queue.sentAt = now
	return messages
}

func encodeGossip(kind byte, names []string) []byte {
	data := []byte{kind}
	for _, name := range names {
		data = binary.BigEndian.AppendUint32(data, gossipHash(name))
	}
	return data
}

// isGossip tells whether bytes are a message of a peer.
func isGossip(data []byte) bool {
	if len(data) < 1+gossipHashBytes || data[0] != GossipUnresponsive && data[0] != GossipRecovered {
		return false
	}
	return (len(data)-1)%gossipHashBytes == 0 && len(data) <= 1+gossipHashBytes*gossipNames
}

// GossipPeers draws the few peers that a message goes to, as ordinals: anew for each message, so that over
// some messages all hear.
func (b *Balancer) GossipPeers(now Time) []int {
	var peers []int
	for k := range uint64(drawsPerPeer * gossipFanOut) {
		peer := int(hash(b.options.Name, "", uint64(now)+k) % uint64(max(1, b.options.Brokers)))
		if peer != b.options.Ordinal && !slices.Contains(peers, peer) && len(peers) < gossipFanOut {
			peers = append(peers, peer)
		}
	}
	return peers
}

// ReceiveGossip takes a peer's message; bytes that are none are dropped. One peer's word alone lowers no
// weight, and all together no more than Options.MaxEjectedShare; that a replica answers again only has it
// tried sooner.
func (b *Balancer) ReceiveGossip(now Time, from int, data []byte) {
	if b.options.NoGossip || !isGossip(data) {
		return
	}
	for hashes := data[1:]; len(hashes) > 0; hashes = hashes[gossipHashBytes:] {
		wanted := binary.BigEndian.Uint32(hashes)
		for _, r := range b.replicas {
			if r.hash != wanted {
				continue
			}
			if data[0] == GossipRecovered {
				b.receiveRecovered(now, r)
			} else {
				b.receiveUnresponsive(now, from, r)
			}
		}
	}
}

func (b *Balancer) receiveRecovered(now Time, r *Replica) {
	r.reports = nil
	if r.Unresponsive() && r.recovery == 0 {
		wait := time.Duration(b.jitter(now, r) * float64(b.returnTime()))
		r.nextTrial = min(r.nextTrial, now+wait)
	}
}

func (b *Balancer) receiveUnresponsive(now Time, from int, r *Replica) {
	r.reports = slices.DeleteFunc(r.reports, func(report gossipReport) bool { return report.from == from })
	r.reports = append(r.reports, gossipReport{from, now})
	if len(r.reports) > reportsMax {
		r.reports = r.reports[1:]
	}
	if r.isDoubted(now) {
		b.alarmAt = max(1, now)
	}
	b.stale = true
}

// returnTime is how long it takes until each replica of the subset has had a request: over such a time
// brokers try a replica again that a peer says is back, which then gets about its usual load.
func (b *Balancer) returnTime() time.Duration {
	seconds := float64(len(b.subset)) / max(minReturnRate, b.requests.perSecond)
	return min(returnTimeMax, max(returnTimeMin, time.Duration(seconds*float64(time.Second))))
}
