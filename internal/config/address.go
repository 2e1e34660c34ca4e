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
		return fmt.Errorf("local_address: %q is not a numeric IP address", c.LocalAddress)
	}
	for i, peer := range c.Peers {
		if err := checkAddress(peer, true); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	return nil
}

// checkAddress checks a numeric IP address with a port. It does not accept a host name, because a name lookup may block
// the start.
func checkAddress(address string, required bool) error {
	if address == "" && !required {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is not of the form address:port", address)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not a numeric IP address with a port within 0 to 65535", address)
	}
	return nil
}

// checkHostPort checks the host:port of a metrics receiver. Unlike checkAddress, it also accepts a host name.
func checkHostPort(address string) error {
	if address == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("%q is not of the form host:port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port of %q is not within 1 to 65535", address)
	}
	return nil
}
