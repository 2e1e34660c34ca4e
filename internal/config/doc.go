// Package config reads and checks the configuration of a broker and sets its defaults. The platform's JSON file
// contains addresses, limits and the settings that all brokers share. The site file in TOML enables optional features.
//
// Rule: a configuration is accepted completely or rejected. An error names the faulty key, in the form "FILE:
// section.key: reason". Unknown keys of the site file are errors. Unknown keys of the platform's file are ignored,
// since the platform may be newer than this version of the broker. Each section of the site file has a method named
// complete, which sets defaults and checks the values, or check, which only checks them.
//
// State: this package keeps no reference to a Config that it has returned. The daemon owns the active Config. During a
// reload, ApplyReload copies into it the values that may change while the broker runs. RestartOnlyChanges lists the
// changed keys that need a restart.
//
// Units: the keys of durations and sizes in the site file end in _ms, _s or _bytes. Durations in the platform's
// settings are in microseconds. The platform's key memory_mb is in MiB.
package config
