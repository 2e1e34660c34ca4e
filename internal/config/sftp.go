package config

import (
	"fmt"

	"junctionwharf/internal/sftp"
	"junctionwharf/scheduler"
)

const (
	// defaultConnections is the default maximum number of connected SFTP clients. With a larger value, they use sockets
	// that other clients need. With a smaller value, connections of a site's programs are rejected.
	defaultConnections = 32
	// maxConnections is the upper bound of the configured maximum. With a larger value, SFTP clients could use most
	// sockets of a small machine.
	maxConnections = 256
	// defaultUnitBytes is the number of bytes of a file that cost one unit. With a larger value, file commands use less
	// of a volume's rate than their load on the nodes justifies. With a smaller value, they use more.
	defaultUnitBytes = 16 << 10
	// maxPort is the highest TCP port.
	maxPort = 65535
)

// SFTP configures the SFTP listener, which accepts file commands.
type SFTP struct {
	Listen      string                                `toml:"listen"`    // host:port; empty: off
	NodePort    int                                   `toml:"node_port"` // of nodes; 0: the port in the endpoint list
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
	s.plan = sftp.Mapping{UnitBytes: s.UnitBytes, Commands: s.Commands, Volumes: s.Volumes}
	return s.plan.Check(set)
}
