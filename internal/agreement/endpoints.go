package agreement

import (
	"maps"
	"slices"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// endpointOverlay applies the replicated drains to the endpoints of this broker's discovery. A drain that discovery
// reports takes effect at once, even before it is replicated. configuration owns the overlay and guards it by its lock.
type endpointOverlay struct {
	nodes      map[string]broker.Node // as last reported by discovery
	overridden map[string]bool        // nodes that discovery reports as ready, but a replicated drain drains
	drains     map[string]bool        // nodes with a replicated drain
}

func newEndpointOverlay() *endpointOverlay {
	return &endpointOverlay{
		nodes:      map[string]broker.Node{},
		overridden: map[string]bool{},
		drains:     map[string]bool{},
	}
}

// overlaid is an endpoint update with the replicated drains applied, and the drain changes to propose because of it.
type overlaid struct {
	update  broker.NodesListed
	drain   []string // nodes that discovery newly reports as draining
	undrain []string // nodes that discovery reports as removed, or as ready after draining
}

// apply records an endpoint update of discovery, and returns it with the replicated drains applied.
func (o *endpointOverlay) apply(update broker.NodesListed) overlaid {
	if update.Kind == scheduler.FailedUpdate {
		return overlaid{update: update}
	}
	if update.Kind != scheduler.DeltaUpdate {
		o.removeMissing(update.Nodes)
	}
	result := overlaid{update: update}
	result.update.Nodes = slices.Clone(update.Nodes)
	for i, n := range update.Nodes {
		if n.State == scheduler.Removed {
			o.remove(n.Name)
			result.undrain = append(result.undrain, n.Name)
			continue
		}
		old, known := o.nodes[n.Name]
		if n.State == scheduler.Draining && (!known || old.State != n.State) {
			result.drain = append(result.drain, n.Name)
		}
		if n.State == scheduler.Ready && known && old.State == scheduler.Draining {
			result.undrain = append(result.undrain, n.Name)
		}
		o.nodes[n.Name] = n
		delete(o.overridden, n.Name)
		if o.drains[n.Name] && n.State == scheduler.Ready {
			o.overridden[n.Name] = true
			result.update.Nodes[i].State = scheduler.Draining
		}
	}
	return result
}

func (o *endpointOverlay) removeMissing(nodes []broker.Node) {
	for name := range o.nodes {
		if !slices.ContainsFunc(nodes, func(n broker.Node) bool { return n.Name == name }) {
			o.remove(name)
		}
	}
}

func (o *endpointOverlay) remove(node string) {
	delete(o.nodes, node)
	delete(o.overridden, node)
}

// setDrain sets the replicated drain of a node, and returns the endpoint if its state changes.
func (o *endpointOverlay) setDrain(node string, drain bool) []broker.Node {
	delete(o.drains, node)
	if drain {
		o.drains[node] = true
	}
	n, known := o.nodes[node]
	override := known && drain && n.State == scheduler.Ready
	if !known || override == o.overridden[node] {
		return nil
	}
	delete(o.overridden, node)
	if override {
		o.overridden[node] = true
		n.State = scheduler.Draining
	}
	return []broker.Node{n}
}

// setDrains replaces all replicated drains, and returns the endpoints whose state changes.
func (o *endpointOverlay) setDrains(drains map[string]bool) []broker.Node {
	o.drains = map[string]bool{}
	var changed []broker.Node
	for _, node := range slices.Sorted(maps.Keys(o.nodes)) {
		changed = append(changed, o.setDrain(node, drains[node])...)
	}
	maps.Copy(o.drains, drains)
	return changed
}
