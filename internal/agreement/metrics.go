package agreement

import (
	"sync/atomic"

	"junctionwharf/broker"
	"junctionwharf/clusterconfig"
)

// metricsInterval is the time between updates of a voter's metrics, in microseconds. The exporters read the metrics
// every second or less often.
const metricsInterval = 200_000

// trafficCounters counts the traffic of this broker's connections. Any goroutine may update the counters.
type trafficCounters struct {
	sentBytes, receivedBytes atomic.Int64
	droppedFrames            atomic.Int64 // frames for peers whose queue was full
	rejectedConnections      atomic.Int64 // including those that failed in the handshake
}

// voterMetrics are the metrics of a voter. The service goroutine writes them, and exporters read them.
type voterMetrics struct {
	term, leads         atomic.Uint64
	lagging, unprepared atomic.Uint64 // numbers of brokers, on the leader
	nextUpdate          clusterconfig.Micros
}

func (m *voterMetrics) update(now clusterconfig.Micros, v *voting) {
	if now < m.nextUpdate {
		return
	}
	m.nextUpdate = now + metricsInterval
	_, term := v.voter.LeaderAndTerm()
	leads, lagging, unprepared := 0, 0, 0
	if v.voter.IsLeader() {
		leads = 1
		lagging = len(v.voter.Lessor().Lagging(now))
		unprepared = len(v.voter.Lessor().Unprepared(now))
	}
	m.term.Store(term)
	m.leads.Store(uint64(leads))
	m.lagging.Store(uint64(lagging))
	m.unprepared.Store(uint64(unprepared))
}

// Metrics returns this broker's metrics for exporters and the console. Any goroutine may call it.
func (s *Service) Metrics() []broker.Metric {
	now := s.now()
	lease := s.config.leaseState(now)
	restricted, restrictedFor := uint64(0), clusterconfig.Micros(0)
	if lease.view.Restricted {
		restricted = 1
		restrictedFor = now - lease.appliedAt
	}
	gauge := func(name string, value uint64) broker.Metric {
		return broker.Metric{Name: "agree_" + name, Value: value}
	}
	millis := func(name string, span clusterconfig.Micros) broker.Metric {
		return gauge(name, uint64(max(0, span)/microsPerMilli))
	}
	counter := func(name string, n *atomic.Int64) broker.Metric {
		return broker.Metric{Name: "agree_" + name, Value: uint64(n.Load()), Counter: true}
	}
	return []broker.Metric{
		gauge("version", lease.view.Version),
		gauge("preparing", lease.view.PendingVersion),
		millis("age_ms", now-lease.appliedAt),
		millis("lease_left_ms", lease.remaining),
		gauge("restricted", restricted),
		millis("restricted_ms", restrictedFor),
		gauge("term", s.voterMetrics.term.Load()),
		gauge("leads", s.voterMetrics.leads.Load()),
		gauge("behind", s.voterMetrics.lagging.Load()),
		gauge("waits", s.voterMetrics.unprepared.Load()),
		counter("bytes_sent", &s.traffic.sentBytes),
		counter("bytes_received", &s.traffic.receivedBytes),
		counter("dropped", &s.traffic.droppedFrames),
		counter("turned_away", &s.traffic.rejectedConnections),
	}
}
