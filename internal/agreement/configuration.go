package agreement

import (
	"log/slog"
	"sync"

	"junctionwharf/broker"
	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

// configuration is what this broker's core acts on: its own settings and endpoints, and the replicated document that it
// has a lease on. Its lock is taken by the scheduling turn, by discovery and by the service goroutine; nothing blocks
// under it.
type configuration struct {
	limitFloors map[string]float64
	log         *slog.Logger

	mu        sync.Mutex
	holder    *clusterconfig.LeaseHolder // only the service goroutine changes its document
	settings  scheduler.Settings         // the broker's own
	endpoints *endpointOverlay
	applied   viewIdentity         // the core acts on it
	appliedAt clusterconfig.Micros // 0: to be applied again
	lastTurn  clusterconfig.Micros
}

// viewIdentity tells views apart.
type viewIdentity struct {
	epoch          uint64
	version        uint64
	pendingVersion uint64
	restricted     bool
}

func newConfiguration(o Options, settings scheduler.Settings, holder *clusterconfig.LeaseHolder) *configuration {
	return &configuration{
		limitFloors: o.LimitFloors,
		log:         o.Log,
		holder:      holder,
		settings:    settings,
		endpoints:   newEndpointOverlay(),
	}
}

// changes returns what the core has to apply before it decides anything in the turn that starts now, nil for nothing.
// A process that was stopped for minutes finds its lease ended here, and does not decide once by what it knew.
func (c *configuration) changes(now clusterconfig.Micros) []broker.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.holder.View(now)
	identity := viewIdentity{c.holder.Document().Epoch, view.Version, view.PendingVersion, view.Restricted}
	sinceLastTurn := now - c.lastTurn
	c.lastTurn = now
	if identity == c.applied && c.appliedAt > 0 {
		return nil
	}
	c.applied = identity
	c.appliedAt = now
	c.log.Info(LogConfigurationApplied, "epoch", identity.epoch, "version", identity.version,
		"preparing", identity.pendingVersion, "restricted", identity.restricted, "before_us", sinceLastTurn)
	settings := effectiveSettings(c.settings, c.limitFloors, view)
	events := []broker.Event{broker.SettingsChanged{Settings: settings}}
	if nodes := c.drainChanges(view); len(nodes) > 0 {
		events = append(events, broker.NodesListed{Kind: scheduler.DeltaUpdate, Nodes: nodes})
	}
	return events
}

// drainChanges brings the endpoints up to the drains of a view, and returns those that change.
func (c *configuration) drainChanges(view clusterconfig.View) []broker.Node {
	keys, all := c.holder.TakeChangedKeys()
	if all {
		return c.endpoints.setDrains(drainedNodes(view))
	}
	var changed []broker.Node
	for _, key := range keys {
		if node, ok := drainedNode(key); ok {
			changed = append(changed, c.endpoints.setDrain(node, view.Value(key) == clusterconfig.Yes)...)
		}
	}
	return changed
}

// setSettings takes the broker's own settings; the next turn applies them.
func (c *configuration) setSettings(settings scheduler.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = settings
	c.appliedAt = 0
}

// settingsChanges returns the changes that bring a document to the broker's own settings.
func (c *configuration) settingsChanges(document *clusterconfig.Document) []clusterconfig.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return missingChanges(document, documentValues(c.settings, c.limitFloors))
}

// overlay lays the replicated drains over an endpoint update.
func (c *configuration) overlay(update broker.NodesListed) overlaid {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.apply(update)
}

func (c *configuration) renew(now clusterconfig.Micros) clusterconfig.Renewal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Renew(now)
}

// grantEffect is what a grant changed.
type grantEffect struct {
	accepted bool
	changed  bool // what the core acts on
	pending  bool // a version is pending
}

func (c *configuration) handleGrant(now clusterconfig.Micros, g *clusterconfig.Grant) grantEffect {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.holder.View(now)
	accepted := c.holder.HandleGrant(now, *g)
	after := c.holder.View(now)
	changed := before.PendingVersion != after.PendingVersion || before.Version != after.Version || before.Restricted
	return grantEffect{accepted: accepted, changed: changed, pending: after.PendingVersion > 0}
}

// document returns a copy of what this broker knows to be active.
func (c *configuration) document() *clusterconfig.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Document().Clone()
}

// active returns what this broker knows to be active, and whether it is restricted. Only the service goroutine may
// call it: no other changes the document.
func (c *configuration) active(now clusterconfig.Micros) (document *clusterconfig.Document, restricted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Document(), c.holder.View(now).Restricted
}

// leaseState is what status and metrics show of the lease.
type leaseState struct {
	epoch           uint64
	view            clusterconfig.View // its values must not be read
	remaining       clusterconfig.Micros
	restrictedSince clusterconfig.Micros
	appliedAt       clusterconfig.Micros
}

func (c *configuration) leaseState(now clusterconfig.Micros) leaseState {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.holder.View(now) // first: it notes the end of the lease
	return leaseState{
		view:            view,
		epoch:           c.holder.Document().Epoch,
		remaining:       c.holder.LeaseRemaining(now),
		restrictedSince: c.holder.RestrictedSince(),
		appliedAt:       c.appliedAt,
	}
}
