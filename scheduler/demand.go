package scheduler

import (
	"encoding/binary"
	"math"
	"slices"

	"junctionwharf/balancer"
)

const (
	// gossipTicks is how many ticks there are between two reports of a volume's demand. Higher, a surge
	// through several brokers is granted tokens by stale demand; lower, gossip costs more messages.
	gossipTicks = 3
	// reportTicks is for how many ticks a report counts: two messages may be lost. Higher, a broker that died
	// keeps its part of a volume's tokens for longer; lower, one lost message makes the others grant too
	// much.
	reportTicks = 9
	// demandSteps is how many steps of the codec make a unit. Higher, large demand is cut off at 65,535
	// steps; lower, small volumes are not reported.
	demandSteps = 16.0
)

// A message about demand has 7 bytes: its kind, the hash of the volume's name, and its demand in steps,
// big-endian.
const (
	messageReport = 2 // from a broker to the volume's aggregator
	messageAnswer = 3 // the aggregator's answer: the demand at all others
	messageBytes  = 7
)

// demandReport is the demand that a broker reported, in units a tick.
type demandReport struct {
	units float64
	tick  int // of this broker in which it came
	from  int // ordinal of its sender
}

// current is what a report still counts for in a tick.
func (d demandReport) current(tick int) float64 {
	if tick-d.tick > reportTicks {
		return 0
	}
	return d.units
}

// demandAggregator adds up what other brokers report of the volumes that this one is the aggregator of.
type demandAggregator struct {
	reports map[uint32][]demandReport // by hash of the volume's name
}

// add notes what one broker reported of a volume and returns the demand at all others. Old reports are
// dropped.
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

// forgetOld drops volumes whose reports are all old.
func (a *demandAggregator) forgetOld(tick int) {
	for hash, reports := range a.reports {
		counts := func(d demandReport) bool { return d.current(tick) > 0 }
		if !slices.ContainsFunc(reports, counts) {
			delete(a.reports, hash)
		}
	}
}

// gossip sends peers what there is to tell them.
func (s *Scheduler) gossip() {
	if !s.settings.Capabilities.Peers || s.settings.Brokers < 2 {
		return
	}
	s.gossipDemand()
	s.gossipUnresponsive()
}

// gossipDemand reports the demand for volumes whose requests come through other brokers too. Each volume has
// an aggregator among the brokers, by the hash of its name: it adds the reports up and answers with the
// demand at all others. So messages follow a broker's own requests, however many brokers there are. Without
// its aggregator a volume falls back on the even split.
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

// encodeDemand is the codec of a message about demand. Demand beyond its range counts as the most that it
// holds.
func encodeDemand(kind byte, hash uint32, units float64) []byte {
	data := binary.BigEndian.AppendUint32([]byte{kind}, hash)
	steps := uint16(min(math.Round(units*demandSteps), math.MaxUint16))
	return binary.BigEndian.AppendUint16(data, steps)
}

// decodeDemand is the reverse. ok is false for bytes of another length.
func decodeDemand(data []byte) (kind byte, hash uint32, units float64, ok bool) {
	if len(data) != messageBytes {
		return 0, 0, 0, false
	}
	units = float64(binary.BigEndian.Uint16(data[5:])) / demandSteps
	return data[0], binary.BigEndian.Uint32(data[1:]), units, true
}

// receivePeerMessage takes a peer's message. Bytes that are none, and senders that are no peers, are dropped.
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

// gossipUnresponsive tells a few peers which nodes were found unresponsive.
func (s *Scheduler) gossipUnresponsive() {
	for _, sh := range s.shards.balanced {
		for _, data := range sh.balancer.GossipMessages(s.now) {
			for _, peer := range sh.balancer.GossipPeers(s.now) {
				s.emit(SendToPeer{Peer: peer, Data: data})
			}
		}
	}
}

// receiveUnresponsive takes such a message of a peer, and tells whether it was one.
func (s *Scheduler) receiveUnresponsive(e PeerMessage) bool {
	if len(e.Data) == 0 || e.Data[0] != balancer.GossipUnresponsive && e.Data[0] != balancer.GossipRecovered {
		return false
	}
	for _, sh := range s.shards.balanced {
		sh.balancer.ReceiveGossip(s.now, e.From, e.Data)
	}
	return true
}
