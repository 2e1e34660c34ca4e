package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"junctionwharf/internal/discovery"
)

// Environment variables. BALANCER_CONFIG contains the path of the configuration file. The others supply values for keys
// that are missing from the file or empty.
const (
	configVariable    = "BALANCER_CONFIG"
	nameVariable      = "BALANCER_NAME"
	listenVariable    = "BALANCER_LISTEN"
	discoveryVariable = "BALANCER_DISCOVERY"
	consoleVariable   = "BALANCER_CONSOLE"
)

// errNoConfig reports that the environment variable with the path of the configuration file is not set.
var errNoConfig = errors.New(configVariable + " is not set")

// Config is the complete configuration of a broker.
type Config struct {
	Name             string
	Listen           string // host:port of the listener for clients
	Discovery        string // host:port of the discovery service, which lists the storage nodes
	Console          string // host:port of the console; empty: off
	LocalAddress     string // source IP address of connections to nodes and discovery; empty: chosen by the system
	Seed             uint64
	Limits           Limits
	PeerListen       string                  // host:port that receives datagrams of peers; empty: off
	Peers            []string                // host:port of all brokers by ordinal, this broker included
	PeersAll         string                  // host:port that reaches all peers; empty: none
	CachedEndpoints  *discovery.EndpointList // used at the start, before discovery answers; nil if the file has none
	Settings         *Settings
	Site             Site // optional features; without a site file all are off
	HandoverDisabled bool // disables the handover between processes, for platforms without Unix sockets

	keys keySet // keys that are present in the file
}

// wireConfig is the format of the platform's file.
type wireConfig struct {
	Name            string          `json:"name"`
	Listen          string          `json:"listen"`
	Discovery       string          `json:"discovery"`
	Console         string          `json:"console"`
	LocalAddress    string          `json:"local_address"`
	Seed            string          `json:"seed"` // hexadecimal
	Limits          Limits          `json:"limits"`
	PeerListen      string          `json:"peer_listen"`
	Peers           []string        `json:"peers"`
	PeersAll        string          `json:"peers_all"`
	CachedEndpoints json.RawMessage `json:"known"`
	Settings        json.RawMessage `json:"settings"`
}

// Load reads the file whose path is in BALANCER_CONFIG. The other environment variables supply values for keys that are
// missing or empty.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(configVariable)
	if path == "" {
		return nil, errNoConfig
	}
	text, err := readBounded(path, maxConfigFileBytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", configVariable, err)
	}
	c, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse decodes the JSON text of a configuration, checks it and sets defaults.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var wire wireConfig
	if err := decodeJSON(text, &wire); err != nil {
		return nil, err
	}
	c := &Config{
		Name:         firstSet(wire.Name, getenv(nameVariable)),
		Listen:       firstSet(wire.Listen, getenv(listenVariable)),
		Discovery:    firstSet(wire.Discovery, getenv(discoveryVariable)),
		Console:      firstSet(wire.Console, getenv(consoleVariable)),
		LocalAddress: wire.LocalAddress,
		Limits:       wire.Limits,
		PeerListen:   wire.PeerListen,
		Peers:        wire.Peers,
		PeersAll:     wire.PeersAll,
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.Limits.complete(); err != nil {
		return nil, err
	}
	if err := c.parseSeed(wire.Seed); err != nil {
		return nil, err
	}
	if err := c.parseCachedEndpoints(wire.CachedEndpoints); err != nil {
		return nil, err
	}
	c.keys = parseKeys(text)
	if err := c.parseSettings(wire.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// firstSet returns value, or fallback if value is empty.
func firstSet(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// isMissing reports whether a key is missing or its value is null.
func isMissing(text json.RawMessage) bool { return len(text) == 0 || string(text) == "null" }

func (c *Config) parseSeed(text string) error {
	seed, err := strconv.ParseUint(firstSet(text, "0"), 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %q is not a number of at most 16 hexadecimal digits", text)
	}
	c.Seed = seed
	return nil
}

func (c *Config) parseCachedEndpoints(text json.RawMessage) error {
	if isMissing(text) {
		return nil
	}
	list, err := discovery.ParseList(text)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	c.CachedEndpoints = list
	return nil
}

func (c *Config) parseSettings(text json.RawMessage) error {
	if isMissing(text) {
		return errors.New("settings: missing")
	}
	settings, err := ParseSettings(text)
	if err == nil {
		err = settings.complete()
	}
	if err != nil {
		return withinKey("settings", err)
	}
	c.Settings = settings
	return nil
}
