package agreement

import (
	"maps"

	"junctionwharf/clusterconfig"
)

const (
	// maxRoutes bounds the brokers below one, and the renewals in a batch. It must exceed the planned size of a fleet.
	maxRoutes = 4096
	// routeTimeout is after what a broker that renews no more loses its route. Shorter would lose the reply to an
	// operator's call, longer would keep routes of brokers that have moved in the tree.
	routeTimeout = 10_000_000 // µs
	// parentSilence is for how many leases a parent may bring no grant. It may be cut off from the leader, or lead in
	// a circle: the broker attaches anew.
	parentSilence = 2
)

// tree is this broker's place in the tree: its parent, its children, and by which child the brokers below are reached.
// The service goroutine owns it.
type tree struct {
	parent    *connection            // nil for none; always nil on a voter
	children  map[string]*connection // by name
	routes    map[string]route       // by lease holder
	lastGrant clusterconfig.Micros   // when the parent brought the last one
}

// route is by which connection a lease holder's renewals came.
type route struct {
	via  *connection
	seen clusterconfig.Micros
}

func newTree() tree {
	return tree{children: map[string]*connection{}, routes: map[string]route{}}
}

// learnRoute notes by which connection a lease holder is reached.
func (t *tree) learnRoute(holder string, via *connection, now clusterconfig.Micros) {
	if _, known := t.routes[holder]; known || len(t.routes) < maxRoutes {
		t.routes[holder] = route{via, now}
	}
}

// routeTo returns the connection by which a lease holder is reached, nil for none.
func (t *tree) routeTo(holder string) *connection { return t.routes[holder].via }

func (t *tree) expireRoutes(now clusterconfig.Micros) {
	maps.DeleteFunc(t.routes, func(_ string, r route) bool {
		return r.via.closed.Load() || now-r.seen > routeTimeout
	})
}

// attachedToVoter reports whether grants can come by the parent.
func (t *tree) attachedToVoter() bool { return t.parent != nil && !t.parent.closed.Load() }

// childAddresses returns where the children can be reached that may have children themselves.
func (t *tree) childAddresses() []string {
	var addresses []string
	for _, c := range t.children {
		if c.listenAddress != "" {
			addresses = append(addresses, c.listenAddress)
		}
	}
	return addresses
}

func (t *tree) addChild(name string, c *connection) { t.children[name] = c }

// removeChild forgets a child whose connection is replaced or has ended.
func (t *tree) removeChild(c *connection) {
	if t.children[c.name] == c {
		delete(t.children, c.name)
	}
}

// closeChild ends the connection of a child that connects again.
func (t *tree) closeChild(name string) {
	if old := t.children[name]; old != nil {
		old.close()
		delete(t.children, name)
	}
}

// notifyChildren has the children, and by them all below, renew now.
func (t *tree) notifyChildren() {
	for _, c := range t.children {
		c.send(frame{Downstream: &downstreamMessage{Notify: true}})
	}
}
