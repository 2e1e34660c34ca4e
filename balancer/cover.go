package balancer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hash draws evenly from names and a number.
func hash(own, name string, number uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(own)
	d.Write([]byte{0})
	d.WriteString(name)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], number)
	d.Write(b[:])
	return d.Sum64()
}

// unit turns a hash into a number from 0 to below 1.
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// jump is the jump consistent hash of Lamping and Veach (2014): with one bucket more, only that one's share moves.
func jump(key uint64, buckets int) int {
	b, j := int64(-1), int64(0)
	for j < int64(buckets) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(1<<31) / float64((key>>33)+1)))
	}
	return int(b)
}

// cover is how many brokers use each node of a shard of so many, each broker then uses opt.SubsetSize in the mean. It changes in
// steps of a quarter, so that a node that joins or leaves moves its own brokers and no others, but at a step.
func (g *Balancer) cover(nodes int) int {
	if nodes == 0 || g.opt.Brokers < 2 {
		return 1
	}
	coarse := math.Pow(2, math.Floor(4*math.Log2(float64(nodes)))/4)
	return max(1, min(g.opt.Brokers, int(math.Ceil(float64(g.opt.Brokers*g.opt.SubsetSize)/coarse))))
}

// brokersOf yields brokers in a node's own order, distinct, up to so many. The node's first ones use it: so each node is
// covered by the same number of brokers, and each moves alone.
func (g *Balancer) brokersOf(name string, most int) []int32 {
	if most = min(most, g.opt.Brokers); g.opt.Brokers < 2 {
		return nil
	}
	order := make([]int32, 0, most)
	seen := make([]uint64, (g.opt.Brokers+63)/64)
	for k := uint64(0); len(order) < most && k < 64*uint64(most)+64; k++ {
		b := jump(hash("", name, k), g.opt.Brokers)
		if bit := uint64(1) << (b % 64); seen[b/64]&bit == 0 {
			seen[b/64] |= bit
			order = append(order, int32(b))
		}
	}
	return order
}

// covers tells whether this broker is among the first so many in a node's order.
func (g *Balancer) covers(m *Replica, count int) bool {
	if count >= g.opt.Brokers {
		return true
	}
	if len(m.brokers) < count {
		m.brokers = g.brokersOf(m.Name, count)
	}
	return slices.Contains(m.brokers[:min(count, len(m.brokers))], int32(g.opt.Ordinal))
}

// nearest is the cover of a broker that goes by its name alone: the nodes that a weighted rendezvous draws for it.
func (g *Balancer) nearest() []*Replica {
	ranked := slices.Clone(g.all)
	score := func(m *Replica) float64 { return -math.Log(1-unit(hash(g.opt.Name, m.Name, 2))) / m.size() }
	slices.SortFunc(ranked, func(a, b *Replica) int { return cmp.Compare(score(a), score(b)) })
	return ranked[:min(len(ranked), g.opt.SubsetSize)]
}

// even reckons what factor each node of the cover needs so that, were all brokers to send alike, each node would get its
// size's part: some brokers have few nodes and some many. All brokers know who covers what, so each does the same sum, by
// Sinkhorn's scaling of rows and columns in turn.
func (g *Balancer) even() {
	for _, m := range g.used {
		m.balance = 1
	}
	if len(g.used) == len(g.all) || g.opt.Brokers < 2 || g.wide > 0 {
		return
	}
	count, total := g.cover(len(g.all)), 0.0
	covers := make([][]int32, len(g.all)) // brokers by node
	for i, m := range g.all {
		if len(m.brokers) < count {
			m.brokers = g.brokersOf(m.Name, count)
		}
		covers[i] = m.brokers[:min(count, len(m.brokers))]
		total += m.size()
	}
	column, row := make([]float64, len(g.all)), make([]float64, g.opt.Brokers)
	for i, m := range g.all {
		column[i] = m.size()
	}
	for range sinkhornSteps {
		clear(row)
		for i, brokers := range covers {
			for _, b := range brokers {
				row[b] += column[i]
			}
		}
		for i, m := range g.all {
			sum := 0.0
			for _, b := range covers[i] {
				sum += 1 / row[b]
			}
			want := m.size() / total * float64(g.opt.Brokers)
			column[i] = min(max(want/sum, m.size()/mostBalance), m.size()*mostBalance)
		}
	}
	for i, m := range g.all {
		m.balance = column[i] / m.size()
	}
}

const (
	sinkhornSteps = 12
	mostBalance   = 8.0
)
