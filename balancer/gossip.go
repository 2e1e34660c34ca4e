package balancer

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// reportTime is how long a peer's report is valid. With a longer time, a recovered replica keeps its low weight
	// for longer. With a shorter time, the reports of peers with few requests never overlap.
	reportTime = 10 * time.Second
	// reportsToDoubt is how many peers must report a replica before its weight is lowered. With more reports, a
	// dead replica is found late. With fewer reports, a single broker with a network fault moves the load of all
	// other brokers.
	reportsToDoubt = 2
	// reportsMax bounds the number of reports kept for a replica. A larger bound costs memory. With a smaller
	// bound, reports are lost if there are many brokers.
	reportsMax = 64
	// gossipPeriod is the minimum time between two rounds of messages from a broker. With a longer period, peers
	// are informed late. With a shorter period, an outage of a zone floods them.
	gossipPeriod = time.Second
	// gossipFanOut is how many peers receive a message. With more peers, messages cost more. With fewer peers,
	// some peers are informed late.
	gossipFanOut = 4
	// drawsPerPeer is the number of draws for each peer that is wanted, since a draw may repeat a peer. Its value
	// only matters with a few brokers.
	drawsPerPeer = 4
	// gossipNames is the maximum number of replicas in a message and keeps it below 256 bytes. With more names, a
	// message may not fit into a datagram. With fewer names, an outage of a zone is only partly reported.
	gossipNames = 60
	// returnTimeMin and returnTimeMax bound returnTime, the time over which brokers retry a replica that a peer
	// reported as recovered. With larger bounds, the replica gets its load back later. With smaller bounds, all
	// brokers send to the replica at once.
	returnTimeMin = time.Second
	returnTimeMax = 10 * time.Second
	// minReturnRate is the minimum request rate per second with which returnTime computes. It prevents a division by
	// 0. At lower rates returnTimeMax bounds the result anyway.
	minReturnRate = 0.1
)

// A message names replicas of one kind: one byte with the kind, followed by hashes of 4 bytes each, big-endian.
const (
	GossipUnresponsive = 4 // replicas that became unresponsive
	GossipRecovered    = 5 // unresponsive replicas that have answered again
	gossipHashBytes    = 4
)

// gossipReport is a peer's report that a replica is unresponsive.
type gossipReport struct {
	from int // ordinal of the peer
	at   Time
}

// gossipQueue stores the names of replicas for the next messages to peers.
type gossipQueue struct {
	unresponsive []string
	recovered    []string
	sentAt       Time // time of the last messages; 0 before the first
}

// gossipHash returns the hash that identifies a replica in messages.
func gossipHash(replica string) uint32 { return uint32(hash("", replica, saltGossip)) }

// appendName appends a name, unless the list already has it or would not fit into a message.
func appendName(names []string, name string) []string {
	if slices.Contains(names, name) || len(names) >= gossipNames {
		return names
	}
	return append(names, name)
}

// isDoubted reports whether at least reportsToDoubt peers have found the replica unresponsive within reportTime and
// since the replica's last answer to this broker.
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

// GossipMessages returns the messages to send to the peers of GossipPeers: the replicas that became unresponsive and
// those that answered again, both since the last messages. It returns messages at most once per gossipPeriod.
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

// isGossip reports whether data has the form of a gossip message.
func isGossip(data []byte) bool {
	if len(data) < 1+gossipHashBytes || data[0] != GossipUnresponsive && data[0] != GossipRecovered {
		return false
	}
	return (len(data)-1)%gossipHashBytes == 0 && len(data) <= 1+gossipHashBytes*gossipNames
}

// GossipPeers draws the peers that receive the messages at the time now, and returns their ordinals. Peers are drawn
// anew for each time, so that all peers are informed after several messages.
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

// ReceiveGossip handles a message from a peer and drops data that is not a message. Reports of a single peer lower no
// weight. Reports of all peers lower weights only within Options.MaxEjectedShare. A report that a replica recovered
// removes the reports against the replica, and brings its next trial forward if this broker found it unresponsive.
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

// returnTime returns the time that this broker needs to send one request to each replica of the subset, from
// returnTimeMin to returnTimeMax. Brokers spread the trials of a replica that a peer reported as recovered over this
// time, so that the replica gets about its usual load.
func (b *Balancer) returnTime() time.Duration {
	seconds := float64(len(b.subset)) / max(minReturnRate, b.requests.perSecond)
	return min(returnTimeMax, max(returnTimeMin, time.Duration(seconds*float64(time.Second))))
}
