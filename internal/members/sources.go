package members

import (
	"context"
	"os"
	"time"

	"junctionwharf/internal/config"
	"junctionwharf/internal/dnssrv"
	"junctionwharf/membership"
)

const (
	// filePollInterval is the time between checks of a file: 1 s. If it were lower, the disk would be read more often.
	// If it were higher, a change would take effect later.
	filePollInterval = time.Second
	// minTrafficWeight is the traffic weight of records with SRV weight 0, which must receive a little of the traffic
	// (RFC 2782). A traffic weight of 0 would mean that the weight is unknown, and such a node would receive as much as
	// a node of weight 1.
	minTrafficWeight = 0.1
)

// startSource starts to query a DNS or file source. The queries end with ctx. It does nothing for discovery, which
// calls HandleDiscovery.
func (m *Members) startSource(ctx context.Context, s config.EndpointSource) error {
	switch s.Kind {
	case config.SourceDNS:
		resolver, err := dnssrv.NewResolver(s.Resolver())
		if err != nil {
			return err
		}
		w := &dnssrv.Watcher{Resolver: resolver, Name: s.SRV, Mapping: s.Mapping()}
		go w.Run(ctx, func(u dnssrv.Update) { m.handleDNS(ctx, s.Name, u) })
	case config.SourceFile:
		go m.pollFile(ctx, s)
	}
	return nil
}

// handleDNS handles an update from DNS.
func (m *Members) handleDNS(ctx context.Context, name string, u dnssrv.Update) {
	for _, reason := range u.Skipped {
		m.log.Warn("entry skipped", "source", name, "reason", reason)
	}
	if u.Err != nil {
		m.handleFailure(ctx, name, u.Err)
		return
	}
	a := membership.SourceAnswered{
		AskedAt:  int64(m.clock.Now()) - time.Since(u.QueriedAt).Microseconds(),
		Complete: true,
	}
	for _, e := range u.Endpoints {
		a.Entries = append(a.Entries, membership.Entry{
			Name:          e.Target,
			Address:       e.Address,
			Zone:          e.Zone,
			Kind:          e.Kind,
			Shard:         e.Shard,
			Capacity:      e.Share,
			TrafficWeight: max(minTrafficWeight, float64(e.Weight)),
			Priority:      int(e.Priority),
			LastStart:     membership.UnknownStart,
		})
	}
	m.handleAnswer(ctx, name, a)
}

// pollFile reads a file at once, and again when a check finds it changed, until ctx ends.
func (m *Members) pollFile(ctx context.Context, s config.EndpointSource) {
	var seen fileVersion
	tick := time.NewTicker(filePollInterval)
	defer tick.Stop()
	for {
		seen = m.readIfChanged(ctx, s, seen)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// fileVersion is compared to find out whether the content of a file may have changed.
type fileVersion struct {
	modified time.Time
	size     int64
}

// readIfChanged reads a file if its version differs from seen, and passes its entries or an error to the state. It
// returns the version that was last read without an error.
func (m *Members) readIfChanged(ctx context.Context, s config.EndpointSource, seen fileVersion) fileVersion {
	info, err := os.Stat(s.Path)
	if err != nil {
		m.handleFailure(ctx, s.Name, err)
		return seen
	}
	if info.ModTime().Equal(seen.modified) && info.Size() == seen.size {
		return seen
	}
	asked := int64(m.clock.Now())
	entries, err := config.LoadEndpoints(s.Path)
	if err != nil {
		m.handleFailure(ctx, s.Name, err)
		return seen
	}
	m.handleAnswer(ctx, s.Name, membership.SourceAnswered{AskedAt: asked, Complete: true, Entries: entries})
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}
