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
	// reuseTime is the target for the mean time between two requests of a broker to the same replica. With a longer
	// time, connections time out between requests and must be reopened. With a shorter time, the requests of a
	// broker are spread over fewer replicas.
	reuseTime = 4 * time.Second
	// doublingsMax bounds how often the subset is doubled for a high request rate. With a larger bound, a busy
	// broker keeps more connections. With a smaller bound, its load is spread over fewer replicas.
	doublingsMax = 4
	// shrinkRatio is the factor by which a subset must exceed the required size before it is halved. With a larger
	// ratio, a broker with few requests keeps idle connections. With a smaller ratio, the subset changes with each
	// burst.
	shrinkRatio = 4
	// subsetSteps is the number of steps in which brokersPerReplica changes while the number of replicas doubles.
	// With more steps, replicas that join change the brokers of other replicas more often. With fewer steps,
	// subset sizes are further from SubsetSize.
	subsetSteps = 4
	// evenPeriod is the minimum time between two runs of evenSubsets. With a longer period, load is uneven for
	// longer after a change. With a shorter period, frequent changes of the endpoint list cost processor time.
	evenPeriod = time.Second
	// evenIterations is the number of iterations of evenSubsets. More iterations cost processor time. With fewer
	// iterations, load is uneven.
	evenIterations = 12
	// evenFactorMax bounds the factors of evenSubsets. With a larger bound, a replica that few brokers use may get
	// a burst from one of them. With a smaller bound, such a replica stays underused.
	evenFactorMax = 8.0
	// drawsPerBroker bounds the draws of brokersOf. Its value only matters with very few brokers: a replica whose
	// draws run out is used by fewer of them.
	drawsPerBroker = 64
)

// The salts that make hashes for different purposes differ.
const (
	saltStart      = 1 // first position of a replica in a broker's turns
	saltRendezvous = 2 // the subset of a broker without an ordinal
	saltGossip     = 3 // hash of a replica's name in messages
)

// hash returns a uniformly distributed hash of a broker's name, a replica's name and a number.
func hash(broker, replica string, number uint64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(broker) // a Digest returns no error
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(replica)
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], number)
	_, _ = digest.Write(bytes[:])
	return digest.Sum64()
}

// unitInterval maps a hash to a number from 0 to below 1.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// jumpHash is the jump consistent hash of Lamping and Veach (2014). If a bucket is added, only the keys that belong to
// the new bucket move.
func jumpHash(key uint64, buckets int) int {
	bucket, next := int64(-1), int64(0)
	for next < int64(buckets) {
		bucket = next
		key = key*2862933555777941757 + 1
		next = int64(float64(bucket+1) * (float64(1<<31) / float64((key>>33)+1)))
	}
	return int(bucket)
}

// brokersPerReplica returns how many brokers use each replica, for a shard with the given number of replicas. Each
// broker then uses about SubsetSize replicas on average. The result changes in steps: between two steps, a replica that
// joins or leaves only changes the subsets of the brokers that use it.
func (b *Balancer) brokersPerReplica(replicas int) int {
	if replicas == 0 || b.options.Brokers < 2 {
		return 1
	}
	rounded := math.Pow(2, math.Floor(subsetSteps*math.Log2(float64(replicas)))/subsetSteps)
	count := int(math.Ceil(float64(b.options.Brokers*b.options.SubsetSize) / rounded))
	return max(1, min(b.options.Brokers, count))
}

// brokersOf returns up to count distinct brokers, which use the replica: the first brokers in an order that depends
// only on the replica's name and the number of brokers. So each replica is used by the same number of brokers, unless
// its draws run out, and its brokers do not depend on other replicas.
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

// usersOf returns the brokers that use a replica if each replica is used by count brokers.
func (b *Balancer) usersOf(r *Replica, count int) []int32 {
	if len(r.brokerOrder) < count {
		r.brokerOrder = b.brokersOf(r.Name, count)
	}
	return r.brokerOrder[:min(count, len(r.brokerOrder))]
}

// uses reports whether this broker uses a replica if each replica is used by count brokers.
func (b *Balancer) uses(r *Replica, count int) bool {
	return count >= b.options.Brokers || slices.Contains(b.usersOf(r, count), int32(b.options.Ordinal))
}

// chooseSubset chooses the subset from all replicas, and runs evenSubsets if the replicas have changed.
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
	if len(b.subset) == 0 { // no replica is assigned to this broker: a small subset is better than all replicas
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

// resizeSubset doubles or halves the subset if the request rate requires it.
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

// rendezvousSubset returns the subset of a broker to which brokersOf assigns no replica. It depends only on the names:
// the SubsetSize replicas with the highest weighted rendezvous hash.
func (b *Balancer) rendezvousSubset() []*Replica {
	ranked := slices.Clone(b.replicas)
	score := func(r *Replica) float64 {
		return -math.Log(1-unitInterval(hash(b.options.Name, r.Name, saltRendezvous))) / r.size()
	}
	slices.SortFunc(ranked, func(x, y *Replica) int { return cmp.Compare(score(x), score(y)) })
	return ranked[:min(len(ranked), b.options.SubsetSize)]
}

// evenSubsets computes the factors that make the load even although some brokers use few replicas and others many. With
// these factors, if all brokers send the same load, each replica receives load in proportion to its size. All brokers
// compute the same factors, because every broker knows which brokers use which replicas. A broker that uses all
// replicas or has doubled its subset uses factors of 1. The method is Sinkhorn's alternate scaling of rows (brokers)
// and columns (replicas).
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
