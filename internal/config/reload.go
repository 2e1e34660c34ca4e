package config

import (
	"fmt"
	"maps"
	"reflect"
)

// knownKey is the list of nodes held before a start, which counts at a start only.
const knownKey = "known"

// CheckReloadKeys guards against a file that was cut or lost a key, which would otherwise pass for one that leaves
// the key to its default: a configuration that comes while the broker runs holds all keys that the one in force
// holds. The error names the first key that is missing.
func (c *Config) CheckReloadKeys(other *Config) error {
	required := maps.Clone(c.keys)
	delete(required, knownKey)
	if missing := required.firstMissing(other.keys); missing != "" {
		return fmt.Errorf("%s: missing", missing)
	}
	return nil
}

// RestartOnlyChanges names the keys in which other differs and which are in force only from a start on. The seed and
// the known list always are those of the start.
func (c *Config) RestartOnlyChanges(other *Config) []string {
	var keys []string
	for _, setting := range []struct {
		key      string
		old, new any
	}{
		{"name", c.Name, other.Name},
		{"listen", c.Listen, other.Listen},
		{"limits", c.Limits, other.Limits},
		{"console", c.Console, other.Console},
		{"local_address", c.LocalAddress, other.LocalAddress},
		{"peer_listen", c.PeerListen, other.PeerListen},
		{"peers", c.Peers, other.Peers},
		{"peers_all", c.PeersAll, other.PeersAll},
		{"settings.nInstances", c.Settings.Scheduler.Brokers, other.Settings.Scheduler.Brokers},
		{"settings.ordinal", c.Settings.Scheduler.Ordinal, other.Settings.Scheduler.Ordinal},
		{"site", c.Site.restartOnly(), other.Site.restartOnly()},
	} {
		if !reflect.DeepEqual(setting.old, setting.new) {
			keys = append(keys, setting.key)
		}
	}
	return keys
}

// ApplyReload takes over what may change while the broker runs.
func (c *Config) ApplyReload(other *Config) {
	c.Discovery = other.Discovery
	c.Settings = other.Settings
	c.keys = other.keys
	c.Site.SFTP.plan = other.Site.SFTP.plan
	if len(c.Site.Membership.Sources) > 0 && len(other.Site.Membership.Sources) > 0 {
		c.Site.Membership.Sources = other.Site.Membership.Sources
		c.Site.Membership.SuspectS = other.Site.Membership.SuspectS
	}
	c.Site.Telemetry = other.Site.Telemetry
	c.Site.Graphite = other.Site.Graphite
	c.Site.Collectd = other.Site.Collectd
}
