// Package config reads and checks the configuration of a broker and sets its defaults. The platform's JSON file
// contains addresses, limits and the settings that all brokers share. The site file in TOML enables optional features.
//
// Rule: a configuration is accepted completely or rejected. An error names the faulty key, in the form "FILE:
// section.key: reason". Unknown keys of the site file are errors. Unknown keys of the platform's file are ignored,
// since the platform may be newer than this version. Each section sets its defaults and checks its values in one method
// named complete or check.
//
// State: a Config is a value that this package does not change after reading it. The daemon owns the active Config.
// ApplyReload copies the sections that a reload may change. RestartOnlyChanges lists changed keys that need a restart.
//
// Units: the key names of the site file end in _ms, _s, _mb or _bytes. Durations in the platform's settings are in
// microseconds, and its memory_mb is in MiB.
package config
