package config

import (
	"fmt"
	"os"

	"junctionwharf/membership"
)

// maxEndpointFileBytes limits the size of a static endpoint list. With a larger value, a wrong path, such as that of a
// log file, could exhaust the memory of the process. With a smaller value, the list of a large deployment is rejected.
const maxEndpointFileBytes = 16 << 20

// endpointFile is the format of a static endpoint list: a sequence of [[node]] tables.
type endpointFile struct {
	Nodes []endpointEntry `toml:"node"`
}

type endpointEntry struct {
	Name     string  `toml:"name"`
	Address  string  `toml:"address"`
	Shard    int     `toml:"shard"`
	Zone     string  `toml:"zone"`
	Kind     string  `toml:"kind"`
	Share    float64 `toml:"share"`
	Priority int     `toml:"priority"`
	Draining bool    `toml:"draining"`
}

// LoadEndpoints reads a static endpoint list from a TOML file. The file contains [[node]] tables with the keys name,
// address, shard, zone, kind, share, priority and draining.
func LoadEndpoints(path string) ([]membership.Entry, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxEndpointFileBytes {
		return nil, fmt.Errorf("%s: size %d is above the maximum of %d bytes", path, info.Size(), maxEndpointFileBytes)
	}
	var file endpointFile
	if err := decodeTOML(path, &file); err != nil {
		return nil, err
	}
	var entries []membership.Entry
	seen := map[string]bool{}
	for i, node := range file.Nodes {
		if err := checkAddress(node.Address, true); err != nil {
			return nil, fmt.Errorf("%s: node[%d].address: %w", path, i, err)
		}
		if seen[node.Address] {
			return nil, fmt.Errorf("%s: node[%d].address: %q is a duplicate", path, i, node.Address)
		}
		seen[node.Address] = true
		if node.Shard < 0 || node.Share < 0 {
			return nil, fmt.Errorf("%s: node[%d]: shard %d or share %v is below 0", path, i, node.Shard, node.Share)
		}
		entries = append(entries, node.decode())
	}
	return entries, nil
}

func (e endpointEntry) decode() membership.Entry {
	entry := membership.Entry{
		Name:      e.Name,
		Address:   e.Address,
		Zone:      e.Zone,
		Kind:      e.Kind,
		Shard:     e.Shard,
		Capacity:  e.Share,
		Priority:  e.Priority,
		LastStart: membership.UnknownStart,
	}
	if e.Draining {
		entry.State = membership.Draining
	}
	return entry
}
