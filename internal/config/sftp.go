package config

import (
	"fmt"

	"junctionwharf/internal/sftp"
	"junctionwharf/scheduler"
)

const (
	// defaultConnections is how many SFTP clients may be connected. Higher, they take sockets from other clients;
	// lower, a site's programs are rejected.
	defaultConnections = 32
	// maxConnections bounds that. Higher, SFTP clients could take most sockets of a small machine.
	maxConnections = 256
	// defaultUnitBytes is how many bytes of a file count as one unit of a request's cost. Higher, file commands cost
	// less of a volume's rate than they load the nodes; lower, more.
	defaultUnitBytes = 16 << 10
	// maxPort is the highest TCP port.
	maxPort = 65535
)

// SFTP is the listener for file commands.
type SFTP struct {
	Listen      string                                `toml:"listen"`    // empty: off
	NodePort    int                                   `toml:"node_port"` // of nodes; 0: the endpoint list's
	Connections int                                   `toml:"connections"`
	UnitBytes   int                                   `toml:"unit_bytes"`
	Commands    map[sftp.Command]sftp.CommandSettings `toml:"command"`
	Volumes     []sftp.Volume                         `toml:"volume"`

	plan sftp.Mapping
}

// Plan maps file commands to the core's requests.
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
		return fmt.Errorf("node_port: %d is no port", s.NodePort)
	case s.Connections < 1 || s.Connections > maxConnections:
		return fmt.Errorf("connections: %d is not within 1 to %d", s.Connections, maxConnections)
	}
	s.plan = sftp.Mapping{UnitBytes: s.UnitBytes, Commands: s.Commands, Volumes: s.Volumes}
	return s.plan.Check(set)
}
