package scheduler

import (
	"encoding/binary"
	"math"
	"slices"

	"junctionwharf/balancer"
)

// news is the demand that was told, in units a tick.
type news struct {
	units      float64
	tick, from int
}

// heard is what news still counts.
func (g *Scheduler) heard(n news) float64 {
	if g.ticks-n.tick > newsTicks {
		return 0
	}
	return n.units
}

// tellAll tells peers what there is to tell.
func (g *Scheduler) tellAll() {
	g.tellPeers()
	g.tellSilent()
}

// tellPeers tells the demand for volumes that come through other hosts too. Each volume has a keeper
// among the hosts, by its name: it adds up what is told and answers with the demand at all others. So
// messages follow a host's own traffic, however many hosts there are. Without its keeper a volume
// falls back on the even split.
func (g *Scheduler) tellPeers() {
	if !g.set.Capabilities.Peers || g.set.Brokers < 2 {
		return
	}
	for _, v := range g.active {
		if v.hosts < 2 || v.demand*newsScale < 1 || (g.ticks+v.number)%tellTicks > 0 {
			continue
		}
		if keeper := int(v.id % uint32(g.set.Brokers)); keeper != g.set.Ordinal {
			g.tell(keeper, newsReport, v.id, v.demand)
		} else {
			v.told = news{g.keep(v.id, keeper, v.demand), g.ticks, keeper}
		}
	}
}

func (g *Scheduler) tell(peer int, kind byte, id uint32, units float64) {
	data := binary.BigEndian.AppendUint32([]byte{kind}, id)
	steps := uint16(min(math.Round(units*newsScale), math.MaxUint16))
	g.act(SendToPeer{Peer: peer, Data: binary.BigEndian.AppendUint16(data, steps)})
}

// keep notes what one host told of a volume and returns the demand at all others. Old news is dropped.
func (g *Scheduler) keep(id uint32, from int, units float64) float64 {
	sum, replaced := 0.0, func(n news) bool { return n.from == from || g.heard(n) == 0 }
	others := slices.DeleteFunc(g.kept[id], replaced)
	for _, n := range others {
		sum += n.units
	}
	g.kept[id] = append(others, news{units, g.ticks, from})
	return sum
}

// hear takes a peer's message; bytes that are not one are dropped.
func (g *Scheduler) hear(e PeerMessage) {
	bad := e.From < 0 || e.From >= g.set.Brokers || e.From == g.set.Ordinal
	if bad || g.hearSilent(e) || len(e.Data) != newsBytes {
		return
	}
	id := binary.BigEndian.Uint32(e.Data[1:])
	units := float64(binary.BigEndian.Uint16(e.Data[5:])) / newsScale
	if e.Data[0] == newsReport {
		g.tell(e.From, newsAnswer, id, g.keep(id, e.From, units))
	} else if v := g.byID[id]; v != nil && e.Data[0] == newsAnswer {
		v.told = news{units, g.ticks, e.From}
		v.stir(g)
	}
}

// tellSilent tells a few peers which nodes were found silent.
func (g *Scheduler) tellSilent() {
	if !g.set.Capabilities.Peers || g.set.Brokers < 2 {
		return
	}
	for _, s := range g.groups {
		for _, data := range s.group.GossipMessages(g.now) {
			for _, peer := range s.group.GossipPeers(g.now) {
				g.act(SendToPeer{Peer: peer, Data: data})
			}
		}
	}
}

// hearSilent takes such a message of a peer, and tells whether it was one.
func (g *Scheduler) hearSilent(e PeerMessage) bool {
	if len(e.Data) == 0 || e.Data[0] != balancer.GossipUnresponsive && e.Data[0] != balancer.GossipRecovered {
		return false
	}
	for _, s := range g.groups {
		s.group.ReceiveGossip(g.now, e.From, e.Data)
	}
	return true
}
