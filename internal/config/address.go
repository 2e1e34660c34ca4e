package config

import (
	"fmt"
	"net"
	"strconv"
)

func (c *Config) checkAddresses() error {
	for _, address := range []struct {
		key, value string
		required   bool
	}{
		{"listen", c.Listen, true},
		{"discovery", c.Discovery, true},
		{"console", c.Console, false},
		{"peer_listen", c.PeerListen, false},
		{"peers_all", c.PeersAll, false},
	} {
		if err := checkAddress(address.value, address.required); err != nil {
			return fmt.Errorf("%s: %w", address.key, err)
		}
	}
	if c.LocalAddress != "" && net.ParseIP(c.LocalAddress) == nil {
		return fmt.Errorf("local_address: %q is no numeric address", c.LocalAddress)
	}
	for i, peer := range c.Peers {
		if err := checkAddress(peer, true); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	return nil
}

// checkAddress checks a numeric address with a port: a name would be looked up, which may block a start.
func checkAddress(address string, required bool) error {
	if address == "" && !required {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is no address:port", address)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no numeric address:port", address)
	}
	return nil
}

// checkHostPort takes a name too: a receiver of metrics may be looked up, which the platform's own addresses may not.
func checkHostPort(address string) error {
	if address == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("%q is no host:port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q has no port within 1 to 65535", address)
	}
	return nil
}
