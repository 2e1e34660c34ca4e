package agreement

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

// The keys of the document:
//
//	class.NAME.repeat  yes or no: whether requests of a class may be retried, if the broker's settings allow it, too
//	plan.NAME.limit    rate limit in units a second; only for plans in Options.LimitFloors, which sets the minimum
//	node.HOST.drain    yes: the node receives no new requests
const (
	classPrefix, retrySuffix = "class.", ".repeat"
	planPrefix, limitSuffix  = "plan.", ".limit"
	nodePrefix, drainSuffix  = "node.", ".drain"
)

func retryKey(class string) string { return classPrefix + class + retrySuffix }
func limitKey(plan string) string  { return planPrefix + plan + limitSuffix }
func drainKey(node string) string  { return nodePrefix + node + drainSuffix }

// nameIn returns the name between a prefix and a suffix of a key. ok is false if the key does not have this form or the
// name is empty.
func nameIn(key, prefix, suffix string) (name string, ok bool) {
	name, ok = strings.CutPrefix(key, prefix)
	if !ok {
		return "", false
	}
	name, ok = strings.CutSuffix(name, suffix)
	return name, ok && name != ""
}

// drainedNode returns the node of a drain key. ok is false for any other key.
func drainedNode(key string) (node string, ok bool) { return nameIn(key, nodePrefix, drainSuffix) }

// newSchema returns the schema of the document. All brokers with the same limit floors have the same schema, even if
// they know different classes: a class that was removed keeps its lattice.
func newSchema(limitFloors map[string]float64) clusterconfig.Schema {
	return func(key string) (clusterconfig.Lattice, bool) {
		if _, ok := nameIn(key, classPrefix, retrySuffix); ok {
			return clusterconfig.Permission{}, true
		}
		if plan, ok := nameIn(key, planPrefix, limitSuffix); ok {
			floor, replicated := limitFloors[plan]
			return clusterconfig.Limit{Min: floor}, replicated
		}
		if _, ok := drainedNode(key); ok {
			return clusterconfig.Drain{}, true
		}
		return nil, false
	}
}

// documentValues returns the values that a broker's settings specify for keys of the document.
func documentValues(settings scheduler.Settings, limitFloors map[string]float64) map[string]string {
	values := map[string]string{}
	for _, c := range settings.Classes {
		values[retryKey(c.Name)] = clusterconfig.Yes
		if c.Idempotency == scheduler.NotIdempotent {
			values[retryKey(c.Name)] = clusterconfig.No
		}
	}
	for _, p := range settings.Plans {
		if _, replicated := limitFloors[p.Name]; replicated && p.Limit > 0 {
			values[limitKey(p.Name)] = strconv.FormatFloat(p.Limit, 'g', -1, 64)
		}
	}
	return values
}

// missingChanges returns the changes that would give a document the given values, sorted by key.
func missingChanges(document *clusterconfig.Document, values map[string]string) []clusterconfig.Change {
	var changes []clusterconfig.Change
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if document.Values[key] != values[key] {
			changes = append(changes, clusterconfig.Change{Key: key, Value: values[key]})
		}
	}
	return changes
}

// effectiveSettings returns the settings that a broker's core applies. They are the broker's own settings with two
// changes. A plan that has a limit of its own and a limit floor has the rate limit of the view, or the floor if the
// view has none. Requests of a class may be retried only if both the broker's settings and the view allow it.
func effectiveSettings(settings scheduler.Settings, limitFloors map[string]float64,
	view clusterconfig.View,
) scheduler.Settings {
	settings.Classes = slices.Clone(settings.Classes)
	settings.Plans = slices.Clone(settings.Plans)
	for i := range settings.Classes {
		c := &settings.Classes[i]
		if view.Value(retryKey(c.Name)) != clusterconfig.Yes {
			c.Idempotency = scheduler.NotIdempotent
		}
	}
	for i := range settings.Plans {
		p := &settings.Plans[i]
		floor, replicated := limitFloors[p.Name]
		if !replicated || p.Limit <= 0 {
			continue
		}
		limit, err := strconv.ParseFloat(view.Value(limitKey(p.Name)), 64)
		if err != nil || !(limit > 0) {
			limit = floor // the document has no value yet
		}
		p.Limit = limit
	}
	return settings
}

// drainedNodes returns the nodes that are drained according to a view.
func drainedNodes(view clusterconfig.View) map[string]bool {
	nodes := map[string]bool{}
	for _, key := range view.Keys() {
		if node, ok := drainedNode(key); ok && view.Value(key) == clusterconfig.Yes {
			nodes[node] = true
		}
	}
	return nodes
}
