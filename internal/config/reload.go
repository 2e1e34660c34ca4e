package config

import (
	"fmt"
	"maps"
	"reflect"
)

// knownKey is the key of Config.CachedEndpoints. This endpoint list is used only at the start, so the file may omit it
// at a reload.
const knownKey = "known"

// CheckReloadKeys returns an error if other lacks a key that c has. The error names the first missing key. Without this
// check, a truncated file or a lost key would silently reset the key to its default. A configuration that is loaded
// while the broker runs must therefore contain all keys of the active one.
func (c *Config) CheckReloadKeys(other *Config) error {
	required := maps.Clone(c.keys)
	delete(required, knownKey)
	if missing := required.firstMissing(other.keys); missing != "" {
		return fmt.Errorf("%s: missing", missing)
	}
	return nil
}

// RestartOnlyChanges returns the keys whose values differ in other and take effect only after a restart. The seed and
// CachedEndpoints are not compared, because a reload never changes them.
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

// ApplyReload copies from other the settings that may change while the broker runs.
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
