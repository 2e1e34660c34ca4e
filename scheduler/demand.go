package scheduler

import (
	"encoding/binary"
	"math"
	"slices"

	"junctionwharf/balancer"
)

const (
	// gossipTicks is the number of ticks between two reports of a volume's demand. With a larger value, when
	// the requests for a volume surge at several brokers, tokens are granted based on older demand. With a
	// smaller value gossip costs more messages.
	gossipTicks = 3
	// reportTicks is the number of ticks for which a report is valid. It tolerates two lost messages. With a
	// larger value a failed broker keeps its part of a volume's tokens for longer. With a smaller value
	// fewer lost messages make brokers grant too many tokens.
	reportTicks = 9
	// demandSteps is the number of steps per unit in the encoding. With a larger value more demand is
	// capped, because a message can contain at most 65,535 steps. With a smaller value more volumes
	// have too little demand to be reported.
	demandSteps = 16.0
)

// A demand message has 7 bytes, big-endian: kind, hash of the volume's name, demand in steps.
const (
	messageReport = 2 // from a broker to the volume's aggregator
	messageAnswer = 3 // from the aggregator to the reporting broker: the demand at all other brokers
	messageBytes  = 7
)

// demandReport is a report of demand, in units a tick: the demand at one broker, or, in an aggregator's
// answer, the demand at all other brokers.
type demandReport struct {
	units float64
	tick  int // tick of this broker in which the report arrived
	from  int // ordinal of the broker that sent it
}

// current returns the demand of a report in the given tick: 0 if the report is older than reportTicks.
func (d demandReport) current(tick int) float64 {
	if tick-d.tick > reportTicks {
		return 0
	}
	return d.units
}

// demandAggregator sums the demand that brokers report for the volumes that this broker aggregates.
type demandAggregator struct {
	reports map[uint32][]demandReport // by hash of the volume's name
}

// add stores a broker's report about a volume and returns the demand at all other brokers. It drops expired
// reports about that volume.
func (a *demandAggregator) add(hash uint32, report demandReport) float64 {
	replaced := func(d demandReport) bool { return d.from == report.from || d.current(report.tick) == 0 }
	others := slices.DeleteFunc(a.reports[hash], replaced)
	sum := 0.0
	for _, d := range others {
		sum += d.units
	}
	a.reports[hash] = append(others, report)
	return sum
}

// forgetOld drops the volumes that have no current report of demand above 0.
func (a *demandAggregator) forgetOld(tick int) {
	for hash, reports := range a.reports {
		counts := func(d demandReport) bool { return d.current(tick) > 0 }
		if !slices.ContainsFunc(reports, counts) {
			delete(a.reports, hash)
		}
	}
}

// gossip sends the demand of volumes and the unresponsive nodes to peers.
func (s *Scheduler) gossip() {
	if !s.settings.Capabilities.Peers || s.settings.Brokers < 2 {
		return
	}
	s.gossipDemand()
	s.gossipUnresponsive()
}

// gossipDemand reports the demand for volumes whose requests also arrive through other brokers. The hash of a
// volume's name selects one broker as its aggregator. The aggregator sums the reports and answers each with
// the demand at all other brokers. The number of reports that a broker sends thus depends on its own
// requests and not on the number of brokers: at most one per volume in gossipTicks. An aggregator also sends
// one answer per report. If the aggregator does not answer, its last answer expires after reportTicks, and
// this broker then assumes no demand at other brokers.
func (s *Scheduler) gossipDemand() {
	for _, v := range s.volumes.active {
		if v.brokers < 2 || v.demand*demandSteps < 1 || (s.ticks+v.sequence)%gossipTicks > 0 {
			continue
		}
		aggregator := int(v.hash % uint32(s.settings.Brokers))
		if aggregator != s.settings.Ordinal {
			s.sendDemand(aggregator, messageReport, v.hash, v.demand)
			continue
		}
		others := s.demand.add(v.hash, demandReport{units: v.demand, tick: s.ticks, from: aggregator})
		v.peerDemand = demandReport{units: others, tick: s.ticks, from: aggregator}
	}
}

func (s *Scheduler) sendDemand(peer int, kind byte, hash uint32, units float64) {
	s.emit(SendToPeer{Peer: peer, Data: encodeDemand(kind, hash, units)})
}

// encodeDemand encodes a demand message. Demand above the range of the encoding is capped.
func encodeDemand(kind byte, hash uint32, units float64) []byte {
	data := binary.BigEndian.AppendUint32([]byte{kind}, hash)
	steps := uint16(min(math.Round(units*demandSteps), math.MaxUint16))
	return binary.BigEndian.AppendUint16(data, steps)
}

// decodeDemand decodes a demand message. ok is false if the length is wrong.
func decodeDemand(data []byte) (kind byte, hash uint32, units float64, ok bool) {
	if len(data) != messageBytes {
		return 0, 0, 0, false
	}
	units = float64(binary.BigEndian.Uint16(data[5:])) / demandSteps
	return data[0], binary.BigEndian.Uint32(data[1:]), units, true
}

// receivePeerMessage handles a message from a peer. It drops messages of unknown kind or wrong length, and
// messages whose sender is not another broker of the tier.
func (s *Scheduler) receivePeerMessage(e PeerMessage) {
	if e.From < 0 || e.From >= s.settings.Brokers || e.From == s.settings.Ordinal {
		return
	}
	if s.receiveUnresponsive(e) {
		return
	}
	kind, hash, units, ok := decodeDemand(e.Data)
	if !ok {
		return
	}
	report := demandReport{units: units, tick: s.ticks, from: e.From}
	switch kind {
	case messageReport:
		s.sendDemand(e.From, messageAnswer, hash, s.demand.add(hash, report))
	case messageAnswer:
		if v := s.volumes.byHash[hash]; v != nil {
			v.peerDemand = report
			s.activateVolume(v)
		}
	}
}

// gossipUnresponsive notifies a few peers of the nodes that this broker found unresponsive or recovered.
func (s *Scheduler) gossipUnresponsive() {
	for _, sh := range s.shards.balanced {
		for _, data := range sh.balancer.GossipMessages(s.now) {
			for _, peer := range sh.balancer.GossipPeers(s.now) {
				s.emit(SendToPeer{Peer: peer, Data: data})
			}
		}
	}
}

// receiveUnresponsive handles a gossip message about unresponsive or recovered nodes. It reports whether e is
// such a message.
func (s *Scheduler) receiveUnresponsive(e PeerMessage) bool {
	if len(e.Data) == 0 || e.Data[0] != balancer.GossipUnresponsive && e.Data[0] != balancer.GossipRecovered {
		return false
	}
	for _, sh := range s.shards.balanced {
		sh.balancer.ReceiveGossip(s.now, e.From, e.Data)
	}
	return true
}
