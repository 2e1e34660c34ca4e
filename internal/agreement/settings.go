package agreement

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"

	"junctionwharf/broker"
	"junctionwharf/clusterconfig"
	"junctionwharf/internal/consensus"
	"junctionwharf/scheduler"
)

// The keys of the document:
//
//	class.NAME.repeat  yes or no: whether requests of a class may run again; the settings of the broker must let them, too
//	plan.NAME.limit    units a second; of plans that stand in [agreement.limits] alone, whose figure is the floor
//	node.HOST.drain    yes: nothing new goes to it
const (
	classKey, repeatKey = "class.", ".repeat"
	planKey, limitKey   = "plan.", ".limit"
	nodeKey, drainKey   = "node.", ".drain"
)

func between(key, before, behind string) (string, bool) {
	name, ok := strings.CutPrefix(key, before)
	if !ok {
		return "", false
	}
	name, ok = strings.CutSuffix(name, behind)
	return name, ok && name != ""
}

// rulesOf are the same for all brokers with the same limits, whatever classes each knows: a class that vanished keeps its rule.
func rulesOf(limits map[string]float64) clusterconfig.Rules {
	return func(key string) (clusterconfig.Rule, bool) {
		if _, is := between(key, classKey, repeatKey); is {
			return clusterconfig.Switch{}, true
		}
		if name, is := between(key, planKey, limitKey); is {
			floor, is := limits[name]
			return clusterconfig.Least{Lowest: floor}, is
		}
		if _, is := between(key, nodeKey, drainKey); is {
			return clusterconfig.Drain{}, true
		}
		return nil, false
	}
}

// valuesOf is what settings say of keys of the document.
func valuesOf(set scheduler.Settings, limits map[string]float64) map[string]string {
	values := map[string]string{}
	for _, c := range set.Classes {
		values[classKey+c.Name+repeatKey] = "yes"
		if c.Idempotency == scheduler.NotIdempotent {
			values[classKey+c.Name+repeatKey] = "no"
		}
	}
	for _, p := range set.Plans {
		if _, is := limits[p.Name]; is && p.Limit > 0 {
			values[planKey+p.Name+limitKey] = strconv.FormatFloat(p.Limit, 'g', -1, 64)
		}
	}
	return values
}

// changesTo are what a document lacks of values.
func changesTo(doc *clusterconfig.Document, values map[string]string) []clusterconfig.Change {
	var changes []clusterconfig.Change
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if doc.Values[key] != values[key] {
			changes = append(changes, clusterconfig.Change{Key: key, Value: values[key]})
		}
	}
	return changes
}

// effective is what a broker acts on: its settings, and of what is agreed the view. LimitFloors of a plan that nothing is agreed on stand.
func effective(set scheduler.Settings, limits map[string]float64, view clusterconfig.View) scheduler.Settings {
	set.Classes, set.Plans = slices.Clone(set.Classes), slices.Clone(set.Plans)
	for i := range set.Classes {
		if c := &set.Classes[i]; view.Value(classKey+c.Name+repeatKey) != "yes" {
			c.Idempotency = scheduler.NotIdempotent
		}
	}
	for i := range set.Plans {
		p := &set.Plans[i]
		if _, is := limits[p.Name]; !is || p.Limit <= 0 {
			continue
		}
		if limit, err := strconv.ParseFloat(view.Value(planKey+p.Name+limitKey), 64); err == nil && limit > 0 {
			p.Limit = limit
		} else {
			p.Limit = limits[p.Name] // nothing agreed yet: the floor
		}
	}
	return set
}

// drained are the hosts that a view says leave.
func drained(view clusterconfig.View) map[string]bool {
	hosts := map[string]bool{}
	for _, key := range view.Keys() {
		if host, is := between(key, nodeKey, drainKey); is && view.Value(key) == "yes" {
			hosts[host] = true
		}
	}
	return hosts
}

// list is what discovery told this broker, with what is agreed on laid over it. A drain that discovery told binds at once, agreed or not.
type list struct {
	nodes  map[string]broker.Node // as discovery said last
	shown  map[string]bool        // as draining, for it is agreed
	agreed map[string]bool
}

func newList() *list {
	return &list{nodes: map[string]broker.Node{}, shown: map[string]bool{}, agreed: map[string]bool{}}
}

// news lays what is agreed over what discovery says, and tells which hosts discovery now says to leave, or no longer says so.
func (l *list) news(e broker.NodesListed) (shown broker.NodesListed, leave, stay []string) {
	if e.Kind == scheduler.FailedUpdate {
		return e, nil, nil
	}
	if e.Kind != scheduler.DeltaUpdate {
		for host := range l.nodes {
			if !slices.ContainsFunc(e.Nodes, func(n broker.Node) bool { return n.Name == host }) {
				delete(l.nodes, host)
				delete(l.shown, host)
			}
		}
	}
	shown = e
	shown.Nodes = slices.Clone(e.Nodes)
	for i, n := range e.Nodes {
		old, known := l.nodes[n.Name]
		switch {
		case n.State == scheduler.Removed:
			delete(l.nodes, n.Name)
			delete(l.shown, n.Name)
			stay = append(stay, n.Name) // nothing is to be said of it any more
			continue
		case n.State == scheduler.Draining && (!known || old.State != n.State):
			leave = append(leave, n.Name)
		case n.State == scheduler.Ready && known && old.State == scheduler.Draining:
			stay = append(stay, n.Name)
		}
		l.nodes[n.Name] = n
		if l.agreed[n.Name] && n.State == scheduler.Ready {
			shown.Nodes[i].State = scheduler.Draining
			l.shown[n.Name] = true
		} else {
			delete(l.shown, n.Name)
		}
	}
	return shown, leave, stay
}

// one goes over to what is agreed on one host, and returns what changes by it.
func (l *list) one(host string, leaves bool) []broker.Node {
	if delete(l.agreed, host); leaves {
		l.agreed[host] = true
	}
	n, known := l.nodes[host]
	want := known && leaves && n.State == scheduler.Ready
	if !known || want == l.shown[host] {
		return nil
	}
	if delete(l.shown, host); want {
		l.shown[host] = true
		n.State = scheduler.Draining
	}
	return []broker.Node{n}
}

// agree goes over to what is agreed now, and returns what changes by it.
func (l *list) agree(hosts map[string]bool) []broker.Node {
	l.agreed = map[string]bool{}
	var changed []broker.Node
	for _, host := range slices.Sorted(maps.Keys(l.nodes)) {
		changed = append(changed, l.one(host, hosts[host])...)
	}
	maps.Copy(l.agreed, hosts)
	return changed
}

// faultKind tells why a proposal was refused.
func faultKind(err error) string {
	switch {
	case errors.Is(err, clusterconfig.ErrExpected), errors.Is(err, clusterconfig.ErrUnderWay):
		return "expected"
	case errors.Is(err, consensus.ErrUnknown):
		return "unknown"
	case errors.Is(err, clusterconfig.ErrNotLeader):
		return "none"
	}
	return "invalid"
}
