package config

import (
	"fmt"
	"maps"
	"slices"

	"junctionwharf/internal/sftp"
	"junctionwharf/scheduler"
)

const (
	// defaultConnections is the default maximum number of connected SFTP clients. With a larger value, SFTP clients
	// use sockets that other clients need. With a smaller value, connections of a site's programs are rejected.
	defaultConnections = 32
	// maxConnections is the upper bound of the configured maximum. With a larger value, SFTP clients could use most
	// sockets of a small machine.
	maxConnections = 256
	// defaultUnitBytes is the number of bytes of a file that cost one unit. With a larger value, file commands are
	// charged fewer units of their volume's rate than their load on the nodes justifies. With a smaller value, file
	// commands are charged more units.
	defaultUnitBytes = 16 << 10
	// maxPort is the highest TCP port.
	maxPort = 65535
)

// SFTP configures the SFTP listener, which accepts file commands.
type SFTP struct {
	Listen      string                                `toml:"listen"`    // host:port; empty: off
	NodePort    int                                   `toml:"node_port"` // of the nodes; 0: as in the endpoint list
	Connections int                                   `toml:"connections"`
	UnitBytes   int                                   `toml:"unit_bytes"`
	Commands    map[sftp.Command]sftp.CommandSettings `toml:"command"`
	Volumes     []sftp.Volume                         `toml:"volume"`

	plan sftp.Mapping
}

// Plan returns the mapping of file commands to the core's requests.
func (s *SFTP) Plan() *sftp.Mapping {
	return &s.plan
}

func (s *SFTP) complete(set scheduler.Settings) error {
	if s.Listen == "" {
		return nil
	}
	if err := checkAddress(s.Listen, true); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	if s.UnitBytes == 0 {
		s.UnitBytes = defaultUnitBytes
	}
	switch {
	case s.NodePort < 0 || s.NodePort > maxPort:
		return fmt.Errorf("node_port: %d is not within 0 to %d", s.NodePort, maxPort)
	case s.Connections < 1 || s.Connections > maxConnections:
		return fmt.Errorf("connections: %d is not within 1 to %d", s.Connections, maxConnections)
	}
	// Check fills in defaults from the settings, which must not become values of the section: new settings have others.
	s.plan = sftp.Mapping{
		UnitBytes: s.UnitBytes,
		Commands:  maps.Clone(s.Commands),
		Volumes:   slices.Clone(s.Volumes),
	}
	return s.plan.Check(set)
}

// applyReload copies the mapping of file commands from a section that was read again.
func (s *SFTP) applyReload(other SFTP) {
	s.plan = other.plan
	if other.Listen == "" {
		return
	}
	s.UnitBytes = other.UnitBytes
	s.Commands = other.Commands
	s.Volumes = other.Volumes
}
