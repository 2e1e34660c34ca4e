package agreement

import (
	"log/slog"
	"sync"

	"junctionwharf/broker"
	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

// configuration combines what this broker's core applies: the broker's own settings and endpoints, and the replicated
// document according to the broker's lease. The scheduling turn, discovery, metrics and the service goroutine take its
// lock. No blocking operation runs under the lock.
type configuration struct {
	limitFloors map[string]float64
	log         *slog.Logger

	mu         sync.Mutex
	holder     *clusterconfig.LeaseHolder // only the service goroutine changes its document
	settings   scheduler.Settings         // of this broker
	generation uint64                     // of settings, 0 for those at the start
	endpoints  *endpointOverlay
	applied    viewIdentity         // the view that the core applied last
	appliedAt  clusterconfig.Micros // when the core applied that view; 0 makes the next turn apply the view again
	lastTurn   clusterconfig.Micros
}

// viewIdentity identifies a view. The core applies a view if its identity or the broker's own settings have changed.
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

// changes returns the events that the core must apply before it makes decisions in the turn that starts now, nil for
// none. If the process was stopped for minutes, the end of its lease is detected here, before the core makes a decision
// based on the expired configuration.
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
	// "preparing" is the pending version, and "before_us" the time since the previous turn. The fleet harness reads
	// both.
	c.log.Info(LogConfigurationApplied, "epoch", identity.epoch, "version", identity.version,
		"preparing", identity.pendingVersion, "restricted", identity.restricted, "before_us", sinceLastTurn)
	settings := effectiveSettings(c.settings, c.limitFloors, view)
	events := []broker.Event{broker.SettingsChanged{Settings: settings, Generation: c.generation}}
	if nodes := c.drainChanges(view); len(nodes) > 0 {
		events = append(events, broker.NodesListed{Kind: scheduler.DeltaUpdate, Nodes: nodes})
	}
	return events
}

// drainChanges applies the drains of a view to the endpoints, and returns the endpoints whose state changes.
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

// setSettings replaces the broker's own settings. The next turn applies them.
func (c *configuration) setSettings(settings scheduler.Settings, generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = settings
	c.generation = generation
	c.appliedAt = 0
}

// settingsChanges returns the changes that would give a document the values of the broker's own settings.
func (c *configuration) settingsChanges(document *clusterconfig.Document) []clusterconfig.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return missingChanges(document, documentValues(c.settings, c.limitFloors))
}

// overlay records an endpoint update and applies the replicated drains to it.
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

// grantEffect is the effect of a grant. The other fields have no meaning unless accepted is true.
type grantEffect struct {
	accepted bool
	changed  bool // the core may have to apply the configuration again
	pending  bool // a version is pending after the grant
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

// document returns a copy of the latest active document that this broker has received. Any goroutine may call it.
func (c *configuration) document() *clusterconfig.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Document().Clone()
}

// active returns the latest active document that this broker has received, and whether the broker is restricted. The
// document is not a copy, and only the service goroutine changes it. Therefore only that goroutine may call active.
func (c *configuration) active(now clusterconfig.Micros) (document *clusterconfig.Document, restricted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Document(), c.holder.View(now).Restricted
}

// leaseState is the state of the lease for status and metrics.
type leaseState struct {
	epoch           uint64
	view            clusterconfig.View // its values may only be read under the lock
	remaining       clusterconfig.Micros
	restrictedSince clusterconfig.Micros
	appliedAt       clusterconfig.Micros
}

func (c *configuration) leaseState(now clusterconfig.Micros) leaseState {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.holder.View(now) // must come first, because it updates restrictedSince
	return leaseState{
		view:            view,
		epoch:           c.holder.Document().Epoch,
		remaining:       c.holder.LeaseRemaining(now),
		restrictedSince: c.holder.RestrictedSince(),
		appliedAt:       c.appliedAt,
	}
}
