package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"junctionwharf/internal/discovery"
)

// The environment variable that names the file, and those that stand in for keys that it lacks.
const (
	configVariable    = "BALANCER_CONFIG"
	nameVariable      = "BALANCER_NAME"
	listenVariable    = "BALANCER_LISTEN"
	discoveryVariable = "BALANCER_DISCOVERY"
	consoleVariable   = "BALANCER_CONSOLE"
)

// errNoConfig is of an environment that names no file.
var errNoConfig = errors.New(configVariable + " is not set")

// Config is the whole configuration of a broker.
type Config struct {
	Name             string
	Listen           string // host:port for clients
	Discovery        string // host:port of the service that lists storage nodes
	Console          string // host:port of the admin server; empty: off
	LocalAddress     string // from which connections to nodes and discovery are made; empty: the system's choice
	Seed             uint64
	Limits           Limits
	PeerListen       string // host:port for datagrams of peers; empty: off
	Peers            []string
	PeersAll         string
	CachedEndpoints  *discovery.EndpointList // the list held before the start; nil for none
	Settings         *Settings
	Site             Site // all off unless a file says otherwise
	HandoverDisabled bool // processes do not connect over a Unix socket: a platform that has none says so

	keys keySet // that the file holds
}

// wireConfig is the platform's file.
type wireConfig struct {
	Name            string          `json:"name"`
	Listen          string          `json:"listen"`
	Discovery       string          `json:"discovery"`
	Console         string          `json:"console"`
	LocalAddress    string          `json:"local_address"`
	Seed            string          `json:"seed"` // in hexadecimal
	Limits          Limits          `json:"limits"`
	PeerListen      string          `json:"peer_listen"`
	Peers           []string        `json:"peers"`
	PeersAll        string          `json:"peers_all"`
	CachedEndpoints json.RawMessage `json:"known"`
	Settings        json.RawMessage `json:"settings"`
}

// Load reads the file that BALANCER_CONFIG names. The other variables stand in for keys it lacks.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(configVariable)
	if path == "" {
		return nil, errNoConfig
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", configVariable, err)
	}
	c, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration's JSON.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var wire wireConfig
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, nameTypeError(err)
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

// firstSet is the first value that is not empty.
func firstSet(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func (c *Config) parseSeed(text string) error {
	seed, err := strconv.ParseUint(firstSet(text, "0"), 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %q is not 16 hex digits at most", text)
	}
	c.Seed = seed
	return nil
}

func (c *Config) parseCachedEndpoints(text json.RawMessage) error {
	if len(text) == 0 || string(text) == "null" {
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
	if len(text) == 0 {
		return errors.New("settings: missing")
	}
	settings, err := ParseSettings(text)
	if err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if err := settings.complete(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	c.Settings = settings
	return nil
}
