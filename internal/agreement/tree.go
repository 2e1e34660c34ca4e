package agreement

import (
	"maps"

	"junctionwharf/clusterconfig"
)

const (
	// maxRoutes is the maximum number of routes to brokers below. A batch with this many renewals accepts no further
	// message. maxRoutes must exceed the planned size of a fleet.
	maxRoutes = 4096
	// routeTimeout is the time without a renewal or a call after which the route to a broker is removed. A shorter
	// timeout could lose the reply to an operator's call. A longer timeout would keep routes of brokers that have moved
	// in the tree.
	routeTimeout = 10_000_000 // µs
	// parentSilence is the number of leases without a grant after which this broker leaves its parent and searches for
	// a new one. The parent may be cut off from the leader, or be part of a cycle.
	parentSilence = 2
)

// tree is this broker's place in the tree: its parent, its children, and the routes to all brokers below.
// The service goroutine owns it.
type tree struct {
	parent    *connection            // nil if there is none; always nil on a voter
	children  map[string]*connection // by name
	routes    map[string]route       // by lease holder
	lastGrant clusterconfig.Micros   // time of the last accepted grant, or of attaching to the parent
}

// route is the connection on which a broker's renewals and calls arrive. Answers are sent back on it.
type route struct {
	via  *connection
	seen clusterconfig.Micros
}

func newTree() tree {
	return tree{children: map[string]*connection{}, routes: map[string]route{}}
}

// learnRoute records the connection by which a broker can be reached. It ignores a new broker if there are maxRoutes
// routes.
func (t *tree) learnRoute(holder string, via *connection, now clusterconfig.Micros) {
	if _, known := t.routes[holder]; known || len(t.routes) < maxRoutes {
		t.routes[holder] = route{via, now}
	}
}

// routeTo returns the connection by which a broker can be reached, nil if it is unknown.
func (t *tree) routeTo(holder string) *connection { return t.routes[holder].via }

func (t *tree) expireRoutes(now clusterconfig.Micros) {
	maps.DeleteFunc(t.routes, func(_ string, r route) bool {
		return r.via.closed.Load() || now-r.seen > routeTimeout
	})
}

// attachedToVoter reports whether the connection to the parent is open. A parent accepts children only if it is a voter
// or itself attached, so the parent is likely to deliver grants.
func (t *tree) attachedToVoter() bool { return t.parent != nil && !t.parent.closed.Load() }

// childAddresses returns the addresses of the children that can have children themselves.
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

// removeChild removes the child of a connection that has ended, unless the child has connected again.
func (t *tree) removeChild(c *connection) {
	if t.children[c.name] == c {
		delete(t.children, c.name)
	}
}

// closeChild closes the earlier connection of a child that connects again.
func (t *tree) closeChild(name string) {
	if old := t.children[name]; old != nil {
		old.close()
		delete(t.children, name)
	}
}

// notifyChildren makes the children, and through them all brokers below, renew now.
func (t *tree) notifyChildren() {
	for _, c := range t.children {
		c.send(frame{Downstream: &downstreamMessage{Notify: true}})
	}
}
