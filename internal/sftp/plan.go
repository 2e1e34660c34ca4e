package sftp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"path"
	"strings"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// Command names a file command as the plan knows it.
type Command string

// The commands that go through the core.
const (
	Open      Command = "open"       // for reading only
	OpenWrite Command = "open_write" // for writing; may create or truncate
	Read      Command = "read"
	Write     Command = "write"
	Stat      Command = "stat"
	List      Command = "list" // a whole directory
	Remove    Command = "remove"
)

var changes = map[Command]bool{OpenWrite: true, Write: true, Remove: true}

// Commands lists all commands.
var Commands = []Command{Open, OpenWrite, Read, Write, Stat, List, Remove}

// CommandSettings says how a command is treated.
type CommandSettings struct {
	Class  string `toml:"class"`
	WaitMS int64  `toml:"wait_ms"` // 0: the class's deadline
}

// Volume maps the paths below a prefix to a volume.
type Volume struct {
	Prefix  string `toml:"prefix"`
	Volume  string `toml:"volume"`
	Plan    string `toml:"plan"`
	Shard   int    `toml:"shard"`
	Brokers int    `toml:"hosts"` // brokers through which the volume's requests come; 0: all
}

// Mapping maps file commands to classes, plans, volumes, units and shards.
type Mapping struct {
	UnitBytes int
	MaxUnits  float64
	Commands  map[Command]CommandSettings
	Volumes   []Volume
}

// Check completes the plan from the settings and names the faulty key.
func (p *Mapping) Check(set scheduler.Settings) error {
	if p.UnitBytes < 1 {
		return fmt.Errorf("unit_bytes: %d is below 1", p.UnitBytes)
	}
	p.MaxUnits = max(1, set.MaxUnits)
	for _, name := range Commands {
		terms, told := p.Commands[name]
		if !told {
			return fmt.Errorf("command.%s: missing", name)
		}
		class := find(set.Classes, func(c scheduler.Class) bool { return c.Name == terms.Class })
		switch {
		case class == nil:
			return fmt.Errorf("command.%s.class: no class %q in the settings", name, terms.Class)
		case changes[name] && class.Idempotency != scheduler.NotIdempotent:
			return fmt.Errorf("command.%s.class: %q may run twice, the command may not", name, terms.Class)
		case terms.WaitMS < 0 || terms.WaitMS > math.MaxInt32:
			return fmt.Errorf("command.%s.wait_ms: %d is out of range", name, terms.WaitMS)
		}
		if terms.WaitMS == 0 {
			terms.WaitMS = class.Deadline.Milliseconds()
			p.Commands[name] = terms
		}
	}
	if len(p.Volumes) == 0 {
		return errors.New("volume: none")
	}
	for i := range p.Volumes {
		v := &p.Volumes[i]
		switch {
		case !strings.HasPrefix(v.Prefix, "/") || path.Clean(v.Prefix) != v.Prefix:
			return fmt.Errorf("volume[%d].prefix: %q is no clean absolute path", i, v.Prefix)
		case v.Volume == "":
			return fmt.Errorf("volume[%d].volume: missing", i)
		case find(set.Plans, func(q scheduler.Plan) bool { return q.Name == v.Plan }) == nil:
			return fmt.Errorf("volume[%d].plan: no plan %q in the settings", i, v.Plan)
		case v.Shard < 0:
			return fmt.Errorf("volume[%d].shard: %d is below 0", i, v.Shard)
		case v.Brokers < 0 || v.Brokers > set.Brokers:
			return fmt.Errorf("volume[%d].hosts: %d is not within the %d brokers", i, v.Brokers, set.Brokers)
		case v.Brokers == 0:
			v.Brokers = set.Brokers
		}
	}
	return nil
}

func find[T any](all []T, fits func(T) bool) *T {
	for i := range all {
		if fits(all[i]) {
			return &all[i]
		}
	}
	return nil
}

// volume returns the volume with the longest prefix of a clean path.
func (p *Mapping) volume(name string) *Volume {
	var best *Volume
	for i := range p.Volumes {
		v := &p.Volumes[i]
		inside := name == v.Prefix || strings.HasPrefix(name, strings.TrimSuffix(v.Prefix, "/")+"/")
		if inside && (best == nil || len(v.Prefix) > len(best.Prefix)) {
			best = v
		}
	}
	return best
}

// request makes the core's request of a command; nil if no volume holds the path.
func (p *Mapping) request(op *operation) *broker.Request {
	v := p.volume(op.path)
	if v == nil {
		return nil
	}
	terms := p.Commands[op.command]
	size := max(len(op.data), int(op.length))
	units := math.Ceil(float64(size) / float64(p.UnitBytes))
	hash := fnv.New64a()
	hash.Write([]byte(op.path))
	return &broker.Request{Class: terms.Class, Plan: v.Plan, Volume: v.Volume,
		Key:   fmt.Sprintf("%016x", binary.BigEndian.Uint64(hash.Sum(nil))),
		Units: min(max(1, units), p.MaxUnits), Shard: v.Shard, Brokers: v.Brokers,
		Write: changes[op.command], Timeout: broker.Micros(terms.WaitMS) * 1000, Message: op}
}

// operation is a file command as the core carries it.
type operation struct {
	command Command
	path    string
	flags   uint32 // of OPEN
	attrs   []byte // of OPEN, as they came
	offset  uint64
	length  uint32
	data    []byte
}

// conflicts tells whether two operations of one connection must keep their order: they touch the same
// file, at least one changes it, and they are not data in separate places.
func (op *operation) conflicts(other *operation) bool {
	if op.path != other.path || !changes[op.command] && !changes[other.command] {
		return false
	}
	if !op.placed() || !other.placed() {
		return true
	}
	return op.offset < other.end() && other.offset < op.end()
}

// placed tells whether the operation touches no more than a place of the file.
func (op *operation) placed() bool {
	return (op.command == Read || op.command == Write) && op.flags&flagAppend == 0
}

func (op *operation) end() uint64 {
	n := uint64(max(len(op.data), int(op.length)))
	if op.offset > math.MaxUint64-n {
		return math.MaxUint64
	}
	return op.offset + n
}
