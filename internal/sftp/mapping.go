package sftp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"path"
	"strings"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// Command is the name of a file command in the settings.
type Command string

// The commands that are sent to storage nodes.
const (
	Open      Command = "open"       // for reading only
	OpenWrite Command = "open_write" // for writing; may create or truncate
	Read      Command = "read"
	Write     Command = "write"
	Stat      Command = "stat"
	List      Command = "list" // a whole directory
	Remove    Command = "remove"
)

// Commands lists all commands.
var Commands = []Command{Open, OpenWrite, Read, Write, Stat, List, Remove}

// mutates reports whether a command changes a file.
func (c Command) mutates() bool { return c == OpenWrite || c == Write || c == Remove }

// CommandSettings are the settings of a command.
type CommandSettings struct {
	// Class is the command's class in the scheduler.
	Class string `toml:"class"`
	// WaitMS is how long a client waits for the answer, in milliseconds. If it is 0, the deadline of the class applies.
	WaitMS int64 `toml:"wait_ms"`
}

// Volume maps the paths under a prefix to a volume.
type Volume struct {
	Prefix string `toml:"prefix"`
	Volume string `toml:"volume"`
	// Plan is the name of the volume's plan.
	Plan  string `toml:"plan"`
	Shard int    `toml:"shard"`
	// Brokers is the number of brokers that receive the volume's requests. If it is 0, all brokers do.
	Brokers int `toml:"hosts"`
}

// Mapping maps file commands to the classes, plans, volumes, units and shards of requests.
type Mapping struct {
	UnitBytes int     // number of bytes in one unit of work
	MaxUnits  float64 // maximum units of a request, set by Check
	Commands  map[Command]CommandSettings
	Volumes   []Volume

	Generation uint64 // of the settings (see broker.SettingsChanged), 0 if these never change
}

// Check validates the mapping and sets its defaults from the scheduler's settings. Errors name the faulty key.
func (m *Mapping) Check(settings scheduler.Settings) error {
	if m.UnitBytes < 1 {
		return fmt.Errorf("unit_bytes: %d is below 1", m.UnitBytes)
	}
	m.MaxUnits = max(1, settings.MaxUnits)
	for _, name := range Commands {
		if err := m.checkCommand(name, settings.Classes); err != nil {
			return err
		}
	}
	if len(m.Volumes) == 0 {
		return errors.New("volume: at least one volume is required")
	}
	for i := range m.Volumes {
		if err := m.Volumes[i].check(i, settings); err != nil {
			return err
		}
	}
	return nil
}

// checkCommand validates the settings of a command and sets their default.
func (m *Mapping) checkCommand(name Command, classes []scheduler.Class) error {
	command, exists := m.Commands[name]
	if !exists {
		return fmt.Errorf("command.%s: missing", name)
	}
	class := find(classes, func(c scheduler.Class) bool { return c.Name == command.Class })
	switch {
	case class == nil:
		return fmt.Errorf("command.%s.class: no class %q in the settings", name, command.Class)
	case name.mutates() && class.Idempotency != scheduler.NotIdempotent:
		return fmt.Errorf("command.%s.class: class %q allows repeated execution, but the command does not", name,
			command.Class)
	case command.WaitMS < 0 || command.WaitMS > math.MaxInt32:
		return fmt.Errorf("command.%s.wait_ms: %d is not between 0 and %d", name, command.WaitMS, math.MaxInt32)
	}
	if command.WaitMS == 0 {
		command.WaitMS = class.Deadline.Milliseconds()
		m.Commands[name] = command
	}
	return nil
}

// check validates a volume and sets its default. index is the position of the volume in the settings.
func (v *Volume) check(index int, settings scheduler.Settings) error {
	plan := find(settings.Plans, func(p scheduler.Plan) bool { return p.Name == v.Plan })
	switch {
	case !strings.HasPrefix(v.Prefix, "/") || path.Clean(v.Prefix) != v.Prefix:
		return fmt.Errorf("volume[%d].prefix: %q is not a clean absolute path", index, v.Prefix)
	case v.Volume == "":
		return fmt.Errorf("volume[%d].volume: missing", index)
	case plan == nil:
		return fmt.Errorf("volume[%d].plan: no plan %q in the settings", index, v.Plan)
	case v.Shard < 0:
		return fmt.Errorf("volume[%d].shard: %d is below 0", index, v.Shard)
	case v.Brokers < 0 || v.Brokers > settings.Brokers:
		return fmt.Errorf("volume[%d].hosts: %d is not between 0 and %d, the number of brokers", index, v.Brokers,
			settings.Brokers)
	}
	if v.Brokers == 0 {
		v.Brokers = settings.Brokers
	}
	return nil
}

// find returns the first element for which fits returns true, or nil.
func find[T any](all []T, fits func(T) bool) *T {
	for i := range all {
		if fits(all[i]) {
			return &all[i]
		}
	}
	return nil
}

// volume returns the volume that contains a clean path, or nil if there is none. If the path is under several prefixes,
// the volume with the longest one contains it.
func (m *Mapping) volume(name string) *Volume {
	var longest *Volume
	for i := range m.Volumes {
		v := &m.Volumes[i]
		inside := name == v.Prefix || strings.HasPrefix(name, strings.TrimSuffix(v.Prefix, "/")+"/")
		if inside && (longest == nil || len(v.Prefix) > len(longest.Prefix)) {
			longest = v
		}
	}
	return longest
}

// request returns the broker's request for an operation, or nil if no volume contains the path.
func (m *Mapping) request(op *operation) *broker.Request {
	v := m.volume(op.path)
	if v == nil {
		return nil
	}
	command := m.Commands[op.command]
	units := math.Ceil(float64(op.size()) / float64(m.UnitBytes))
	timeout := time.Duration(command.WaitMS) * time.Millisecond
	return &broker.Request{
		Class:   command.Class,
		Plan:    v.Plan,
		Volume:  v.Volume,
		Key:     keyOf(op.path),
		Units:   min(max(1, units), m.MaxUnits),
		Shard:   v.Shard,
		Brokers: v.Brokers,
		Write:   op.command.mutates(),
		Timeout: broker.MicrosOf(timeout),
		Message: op,

		Generation: m.Generation,
	}
}

// keyOf returns the request key of a path, in the format of the keys in the commands of package resp.
func keyOf(name string) string {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return fmt.Sprintf("%016x", binary.BigEndian.Uint64(hash.Sum(nil)))
}
