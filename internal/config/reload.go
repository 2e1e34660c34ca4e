package config

import (
	"fmt"
	"reflect"
)

// CheckComplete returns an error that names the required keys that the file lacks, if there are any. A configuration
// that is loaded while the broker runs must be complete, whatever the active one contains: otherwise a key that was lost
// from the file would silently be reset to its default. A start accepts a file that lacks keys outside the settings,
// which have defaults or come from the environment, or keys of the settings that the broker does not use.
func (c *Config) CheckComplete() error {
	if len(c.missing) == 0 {
		return nil
	}
	return &missingKeysError{c.missing}
}

// CheckReload returns an error that names the faulty key if other must not replace the active configuration c: if its
// file is incomplete, or if its settings do not fit the sections of the site file that stay in force until a restart.
// If other does not map file commands, it gets the mapping of c with the defaults of its own settings.
func (c *Config) CheckReload(other *Config) error {
	if err := other.CheckComplete(); err != nil {
		return err
	}
	set := other.Settings.Scheduler
	if err := c.Site.Agreement.checkLimits(set); err != nil {
		return fmt.Errorf("agreement.%w (the section in force until a restart)", err)
	}
	if c.Site.SFTP.Listen == "" || other.Site.SFTP.Listen != "" {
		return nil
	}
	inForce := c.Site.SFTP
	if err := inForce.complete(set); err != nil {
		return fmt.Errorf("sftp.%w (the section in force until a restart)", err)
	}
	other.Site.SFTP.plan = inForce.plan
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

// ApplyReload copies from other the settings that may change while the broker runs. It copies the sources of the
// endpoint list only if both configurations have sources, because adding the first source or removing the last one
// needs a restart.
func (c *Config) ApplyReload(other *Config) {
	c.Discovery = other.Discovery
	c.Settings = other.Settings
	c.missing = other.missing
	c.Site.SFTP.applyReload(other.Site.SFTP)
	if len(c.Site.Membership.Sources) > 0 && len(other.Site.Membership.Sources) > 0 {
		c.Site.Membership.Sources = other.Site.Membership.Sources
		c.Site.Membership.SuspectS = other.Site.Membership.SuspectS
	}
	c.Site.Telemetry = other.Site.Telemetry
	c.Site.Graphite = other.Site.Graphite
	c.Site.Collectd = other.Site.Collectd
}
