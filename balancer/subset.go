package balancer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reuseTime is how often a broker should meet each replica of its subset. Higher, connections time out
	// between requests and are opened anew; lower, the requests of a broker are spread over fewer replicas.
	reuseTime = 4 * time.Second
	// doublingsMax bounds how often the subset is doubled for a high rate. Higher, a busy broker keeps more
	// connections; lower, its load is spread over fewer replicas.
	doublingsMax = 4
	// shrinkRatio is how many times too large a subset must be to be halved. Higher, a quiet broker keeps
	// idle connections; lower, its subset changes with each burst.
	shrinkRatio = 4
	// subsetSteps is in how many steps a doubling of a shard's replicas changes how many brokers use each.
	// Higher, each replica that joins moves connections of others; lower, subsets are further from their
	// size.
	subsetSteps = 4
	// evenPeriod is the least time between two runs of evenSubsets. Higher, load is uneven for longer after a
	// change; lower, a list that changes often costs processor time.
	evenPeriod = time.Second
	// evenIterations is how many iterations evenSubsets makes. Higher, it costs processor time; lower, load
	// is uneven.
	evenIterations = 12
	// evenFactorMax bounds the factors of evenSubsets. Higher, a replica with few brokers may get a burst
	// from one of them; lower, it stays underused.
	evenFactorMax = 8.0
	// drawsPerBroker bounds the draws of brokersOf. Higher or lower it makes no difference but in a tier of
	// very few brokers, whose replicas are then used by fewer of them.
	drawsPerBroker = 64
)

// The numbers by which hashes for different uses differ.
const (
	saltStart      = 1 // where a broker begins in its turn
	saltRendezvous = 2 // the subset of a broker without an ordinal
	saltGossip     = 3 // the name of a replica in messages
)

// hash draws evenly from a broker's name, a replica's name and a number.
func hash(broker, replica string, number uint64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(broker) // a hash takes all
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(replica)
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], number)
	_, _ = digest.Write(bytes[:])
	return digest.Sum64()
}

// unitInterval turns a hash into a number from 0 to below 1.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// jumpHash is the jump consistent hash of Lamping and Veach (2014): with one bucket more, only that one's
// share moves.
func jumpHash(key uint64, buckets int) int {
	bucket, next := int64(-1), int64(0)
	for next < int64(buckets) {
		bucket = next
		key = key*2862933555777941757 + 1
		next = int64(float64(bucket+1) * (float64(1<<31) / float64((key>>33)+1)))
	}
	return int(bucket)
}

// brokersPerReplica is how many brokers use each replica of a shard of so many: each broker then uses
// SubsetSize of them in the mean. It changes in steps, so that a replica that joins or leaves moves its own
// brokers and no others, but at a step.
func (b *Balancer) brokersPerReplica(replicas int) int {
	if replicas == 0 || b.options.Brokers < 2 {
		return 1
	}
	rounded := math.Pow(2, math.Floor(subsetSteps*math.Log2(float64(replicas)))/subsetSteps)
	count := int(math.Ceil(float64(b.options.Brokers*b.options.SubsetSize) / rounded))
	return max(1, min(b.options.Brokers, count))
}

// brokersOf is the first brokers in a replica's own order, distinct, up to so many. The first ones use it: so
// each replica is used by the same number of brokers, and each moves alone.
func (b *Balancer) brokersOf(replica string, count int) []int32 {
	if b.options.Brokers < 2 {
		return nil
	}
	count = min(count, b.options.Brokers)
	order := make([]int32, 0, count)
	seen := make([]uint64, (b.options.Brokers+63)/64)
	draws := drawsPerBroker*uint64(count) + drawsPerBroker
	for k := uint64(0); len(order) < count && k < draws; k++ {
		broker := jumpHash(hash("", replica, k), b.options.Brokers)
		bit := uint64(1) << (broker % 64)
		if seen[broker/64]&bit == 0 {
			seen[broker/64] |= bit
			order = append(order, int32(broker))
		}
	}
	return order
}

// usersOf is the brokers that use a replica when each is used by so many.
func (b *Balancer) usersOf(r *Replica, count int) []int32 {
	if len(r.brokerOrder) < count {
		r.brokerOrder = b.brokersOf(r.Name, count)
	}
	return r.brokerOrder[:min(count, len(r.brokerOrder))]
}

// uses tells whether this broker uses a replica when each is used by so many.
func (b *Balancer) uses(r *Replica, count int) bool {
	return count >= b.options.Brokers || slices.Contains(b.usersOf(r, count), int32(b.options.Ordinal))
}

// chooseSubset takes the subset from all replicas.
func (b *Balancer) chooseSubset(now Time) {
	count := b.brokersPerReplica(len(b.replicas))
	for _, r := range b.subset {
		r.share = 0
	}
	b.subset = b.subset[:0]
	for _, r := range b.replicas {
		if len(b.replicas) <= b.options.SubsetSize || b.options.Brokers > 1 && b.uses(r, count<<b.doublings) {
			b.subset = append(b.subset, r)
		}
	}
	if len(b.subset) == 0 { // no replica has this broker early in its order: any few are better than all
		b.subset = append(b.subset, b.rendezvousSubset()...)
	}
	slices.SortStableFunc(b.subset, func(x, y *Replica) int { return x.Priority - y.Priority })
	b.byLatency = b.byLatency[:0]
	if b.evenStale && (b.evenedAt == 0 || now-b.evenedAt >= evenPeriod) {
		b.evenStale = false
		b.evenedAt = max(1, now)
		b.evenSubsets()
	}
	b.stale = true
}

// resizeSubset doubles or halves the subset as the request rate wants.
func (b *Balancer) resizeSubset(now Time) {
	wanted := b.requests.perSecond * reuseTime.Seconds()
	size := float64(b.options.SubsetSize << b.doublings)
	switch {
	case wanted > size && b.doublings < doublingsMax && len(b.subset) < len(b.replicas):
		b.doublings++
		b.chooseSubset(now)
	case wanted < size/shrinkRatio && b.doublings > 0:
		b.doublings--
		b.chooseSubset(now)
	}
}

// rendezvousSubset is the subset of a broker that goes by its name alone: the replicas that a weighted
// rendezvous hash draws for it.
func (b *Balancer) rendezvousSubset() []*Replica {
	ranked := slices.Clone(b.replicas)
	score := func(r *Replica) float64 {
		return -math.Log(1-unitInterval(hash(b.options.Name, r.Name, saltRendezvous))) / r.size()
	}
	slices.SortFunc(ranked, func(x, y *Replica) int { return cmp.Compare(score(x), score(y)) })
	return ranked[:min(len(ranked), b.options.SubsetSize)]
}

// evenSubsets works out what factor each replica of the subset needs so that, were all brokers to send alike,
// each replica would get its size's share: some brokers have few replicas and some many. All brokers know who
// uses what, so each does the same sum, by Sinkhorn's scaling of rows (brokers) and columns (replicas) in
// turn.
func (b *Balancer) evenSubsets() {
	for _, r := range b.subset {
		r.evenFactor = 1
	}
	if len(b.subset) == len(b.replicas) || b.options.Brokers < 2 || b.doublings > 0 {
		return
	}
	count := b.brokersPerReplica(len(b.replicas))
	totalSize := 0.0
	users := make([][]int32, len(b.replicas))
	columns := make([]float64, len(b.replicas))
	for i, r := range b.replicas {
		users[i] = b.usersOf(r, count)
		columns[i] = r.size()
		totalSize += r.size()
	}
	rows := make([]float64, b.options.Brokers)
	for range evenIterations {
		clear(rows)
		for i, brokers := range users {
			for _, broker := range brokers {
				rows[broker] += columns[i]
			}
		}
		for i, r := range b.replicas {
			sum := 0.0
			for _, broker := range users[i] {
				sum += 1 / rows[broker]
			}
			want := r.size() / totalSize * float64(b.options.Brokers)
			columns[i] = min(max(want/sum, r.size()/evenFactorMax), r.size()*evenFactorMax)
		}
	}
	for i, r := range b.replicas {
		r.evenFactor = columns[i] / r.size()
	}
}
