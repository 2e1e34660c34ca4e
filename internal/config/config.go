package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
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

// settingsKey is the key of Config.Settings.
const settingsKey = "settings"

// errNoSettings reports that a file has no settings.
var errNoSettings = errors.New(settingsKey + ": missing")

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

	missing []string // paths of the required keys that the file lacks
}

// wireConfig is the format of the platform's file. The fields' tags say which keys a file may lack (see presenceTag).
type wireConfig struct {
	Name            string          `json:"name"`
	Listen          string          `json:"listen"`
	Discovery       string          `json:"discovery"`
	Console         string          `json:"console" presence:"optional"`
	LocalAddress    string          `json:"local_address" presence:"optional"`
	Seed            string          `json:"seed"` // hexadecimal
	Limits          Limits          `json:"limits"`
	PeerListen      string          `json:"peer_listen"`
	Peers           []string        `json:"peers"`
	PeersAll        string          `json:"peers_all"`
	CachedEndpoints json.RawMessage `json:"known" presence:"optional"` // used only at the start
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
	if isMissing(wire.Settings) {
		return nil, errNoSettings
	}
	if err := c.findMissingKeys(text, &wire); err != nil {
		return nil, err
	}
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

// findMissingKeys records the required keys that the file lacks. It returns an error if the broker needs one of them: it
// cannot do without the settings, nor without a key of the settings whose value it uses.
func (c *Config) findMissingKeys(file []byte, wire *wireConfig) error {
	outside := missingKeys("", reflect.TypeFor[wireConfig](), file)
	within := missingKeys(settingsKey+".", reflect.TypeFor[wireSettings](), wire.Settings)
	for _, key := range slices.Concat(outside, within) {
		c.missing = append(c.missing, key.path)
	}
	c.addEmptyKeys(wire)
	if slices.ContainsFunc(within, func(key missingKey) bool { return key.used }) {
		return c.CheckComplete()
	}
	return nil
}

// addEmptyKeys records the keys that are empty in the file, so that the environment supplies their values. Those are the
// values of the start, which a reload must not bring back.
func (c *Config) addEmptyKeys(wire *wireConfig) {
	for _, supplied := range []struct{ key, value string }{
		{"name", wire.Name},
		{"listen", wire.Listen},
		{"discovery", wire.Discovery},
	} {
		if supplied.value == "" && !slices.Contains(c.missing, supplied.key) {
			c.missing = append(c.missing, supplied.key)
		}
	}
}

func (c *Config) parseSettings(text json.RawMessage) error {
	settings, err := ParseSettings(text)
	if err == nil {
		err = settings.complete()
	}
	if err != nil {
		return withinKey(settingsKey, err)
	}
	c.Settings = settings
	return nil
}
