package config

import (
	"fmt"

	"github.com/BurntSushi/toml"

	"junctionwharf/scheduler"
)

// Site configures the optional features of a broker. All of them are off by default.
type Site struct {
	SFTP       SFTP       `toml:"sftp"`
	Membership Membership `toml:"membership"`
	Telemetry  Telemetry  `toml:"telemetry"`
	Graphite   Graphite   `toml:"graphite"`
	Collectd   Collectd   `toml:"collectd"`
	Admission  Admission  `toml:"admission"`
	Balancer   Balancer   `toml:"spread"`
	Agreement  Agreement  `toml:"agreement"`
}

// LoadSite reads a site file, sets defaults and checks the result against the settings.
func LoadSite(path string, set scheduler.Settings) (Site, error) {
	var site Site
	if err := decodeTOML(path, &site); err != nil {
		return Site{}, err
	}
	for _, section := range []struct {
		key      string
		complete func() error
	}{
		{"sftp", func() error { return site.SFTP.complete(set) }},
		{"membership", site.Membership.complete},
		{"telemetry", func() error { return site.Telemetry.check(set) }},
		{"spread", site.Balancer.check},
		{"agreement", func() error { return site.Agreement.complete(set) }},
		{"admission", site.Admission.check},
		{"graphite", site.Graphite.complete},
		{"collectd", site.Collectd.complete},
	} {
		if err := section.complete(); err != nil {
			return Site{}, fmt.Errorf("%s: %s.%w", path, section.key, err)
		}
	}
	return site, nil
}

// decodeTOML decodes a TOML file into target. Unknown keys are errors.
func decodeTOML(path string, target any) error {
	meta, err := toml.DecodeFile(path, target)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	return nil
}

// restartOnly returns the values of the site file that only a restart can change. A reload can change all others: the
// mapping of file commands, the sources of the endpoint list and the settings of the metrics exports.
func (s Site) restartOnly() any {
	return []any{
		s.SFTP.Listen,
		s.SFTP.NodePort,
		s.SFTP.Connections,
		len(s.Membership.Sources) > 0,
		s.Membership.Snapshot,
		s.Admission,
		s.Balancer,
		s.Agreement,
	}
}
