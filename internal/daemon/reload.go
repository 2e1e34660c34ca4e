package daemon

import (
	"context"
	"fmt"
	"os"
	"strings"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/internal/config"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/resp"
)

// noticeReloadRejected begins the text of the notification to collectd. Operators' alerting rules match this text.
const noticeReloadRejected = "reload turned down: "

// runReloads reloads the configuration on each signal until ctx ends.
func (s *service) runReloads(ctx context.Context, reload <-chan os.Signal, load func() (*config.Config, error)) {
	current := s.config
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			current = s.reload(current, load)
		}
	}
}

// reload loads the configuration, applies the keys that config.ApplyReload lists, and returns the active configuration.
// Other changed keys take effect after a restart, and the log names them. A faulty file is never applied in part: the
// previous configuration then stays active as a whole.
func (s *service) reload(old *config.Config, load func() (*config.Config, error)) *config.Config {
	loaded, err := loadReplacement(old, load)
	s.loop.Metrics.CountReload(err == nil)
	log := logging.Unsampled(s.log)
	if err != nil {
		log.Error("reload rejected; the previous configuration stays active", "reason", err)
		s.exporter.Notify(collectd.Notification{
			Severity: collectd.Failure,
			Instance: "reload",
			Text:     noticeReloadRejected + err.Error(),
		})
		return old
	}
	if keys := old.RestartOnlyChanges(loaded); len(keys) > 0 {
		log.Warn("reload: some keys need a restart", "keys", strings.Join(keys, ", "))
	}
	if loaded.Discovery != old.Discovery {
		s.watcher.SetAddress(loaded.Discovery)
	}
	s.applySettings(loaded)
	log.Info("reloaded", "discovery", loaded.Discovery)
	current := *old
	current.ApplyReload(loaded)
	return &current
}

// loadReplacement loads the configuration that replaces the old one, and checks that it may. It turns a panic into an
// error, so that no file can end a running broker.
func loadReplacement(old *config.Config, load func() (*config.Config, error)) (loaded *config.Config, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	loaded, err = load()
	if err == nil {
		err = old.CheckReload(loaded)
	}
	return loaded, err
}

// applySettings applies the settings of a configuration. The core, or the replicated configuration if it is enabled,
// receives them first. Without the replicated configuration, the core therefore applies the new settings before any
// request that a server accepts by the new limits.
func (s *service) applySettings(c *config.Config) {
	set := c.Settings
	s.generation++
	set.Scheduler.Balancer = s.config.Site.Balancer.Options(s.config.Name) // fixed at the start
	if s.agreement != nil {
		s.agreement.SettingsChanged(set.Scheduler, s.generation)
	} else {
		s.loop.Post(broker.SettingsChanged{Settings: set.Scheduler, Generation: s.generation})
	}
	limits := resp.NewRequestLimits(set.Scheduler, set.Shards)
	limits.Generation = s.generation
	s.clients.SetLimits(limits)
	s.applyMapping(c.Site.SFTP)
	for _, nodes := range s.pools {
		nodes.SetTimeouts(set.ConnectTimeout.Duration(), set.ConnIdle.Duration())
	}
	s.applySources(c.Site.Membership)
	s.watcher.UpdateOptions(s.watcherOptions(c))
	s.exporter.ApplySettings(exportSettings(c))
	s.storeSettings(set.Scheduler)
}

// applyMapping applies the mapping of file commands. Without a new one, it is the present one with the defaults of the
// new settings (see config.CheckReload).
func (s *service) applyMapping(files config.SFTP) {
	if s.files == nil {
		return
	}
	mapping := *files.Plan()
	mapping.Generation = s.generation
	s.files.SetMapping(&mapping)
}

// applySources applies the sources of the endpoint list. It does nothing if the list was not merged from sources at the
// start, or if the new settings name no source.
func (s *service) applySources(membership config.Membership) {
	if !s.mergesSources() || len(membership.Sources) == 0 {
		return
	}
	if err := s.endpoints.ApplySettings(membership); err != nil { // unexpected: the configuration was validated
		s.log.Error("failed to apply endpoint sources; keeping the previous ones", "reason", err)
	}
}
