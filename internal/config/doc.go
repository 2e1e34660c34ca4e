// Package config reads, checks and completes the configuration of a broker: the platform's JSON file, which names
// addresses, limits and the settings that all brokers share, and the site file in TOML, which turns optional parts
// on.
//
// The rule: a configuration is taken as a whole or not at all, and an error names the faulty key, as "FILE:
// section.key: reason". The site file's unknown keys are errors; the platform's are passed over, since it may know
// more than this version. Each section has its defaults and checks in one method, complete or check.
//
// State: a Config is a value that nothing here changes after it was read; the daemon owns the one in force. A reload
// takes over what ApplyReload lists; RestartOnlyChanges names the rest.
//
// Units are in the names: _ms, _s, _mb and _bytes in the site file; the platform's settings count spans in
// microseconds, and its memory_mb is in MiB.
package config
