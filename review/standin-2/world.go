package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
)

// world is a small deployment: nodes, discovery and brokers.
type world struct {
	log       *recorder
	dir       string
	temp      string
	root      string
	trouble   bool
	nodes     []*node
	entries   []hostEntry
	discovery *discovery
	brokers   []*broker
}

// current is the deployment of the running case, for the end by a signal.
var current atomic.Pointer[world]

// newWorld starts a deployment's nodes and discovery, and prepares its brokers. address, if set, gives the address that
// discovery lists for a node.
func newWorld(root, dir string, trouble bool, brokers, nodes int, address func(*node) string) (*world, error) {
	log, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{log: log, dir: dir, root: root, trouble: trouble}
	if w.temp, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	current.Store(w)
	for i := range nodes {
		n, err := newNode(fmt.Sprintf("s-%08x", rand.Uint32()), i, log)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		dial := n.address()
		if address != nil {
			dial = address(n)
		}
		zone := []string{"hall-a", "hall-b"}[i%2]
		w.entries = append(w.entries, hostEntry{n.name, dial, zone, "std-2c", i, "SERVING", 1, 0})
	}
	if w.discovery, err = newDiscovery(append([]hostEntry{}, w.entries...), log); err != nil {
		return nil, err
	}
	return w, w.prepareBrokers(brokers)
}

func (w *world) prepareBrokers(count int) error {
	run, err := runCommand(w.root)
	if err != nil {
		return err
	}
	var peers []string
	for range count {
		peer, err := freePort("udp")
		if err != nil {
			return err
		}
		peers = append(peers, peer)
	}
	for i := range count {
		listen, err := freePort("tcp")
		if err != nil {
			return err
		}
		name := fmt.Sprintf("n%d", i)
		folder := filepath.Join(w.temp, name)
		if err := os.Mkdir(folder, 0o755); err != nil {
			return err
		}
		w.brokers = append(w.brokers, &broker{
			name: name, listen: listen, root: w.root, run: run,
			configPath: filepath.Join(folder, "config.json"),
			logPath:    filepath.Join(w.temp, name+".log"),
			config: object{
				"name": name, "listen": listen, "discovery": w.discovery.address(),
				"seed":        fmt.Sprintf("%016x", rand.Uint64()),
				"limits":      object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
				"peer_listen": peers[i], "peers": peers, "peers_all": "",
				"known":    w.discovery.list(),
				"settings": smallDeployment(count, i, len(w.nodes)),
			},
		})
	}
	return nil
}

func (w *world) startBrokers() error {
	for _, b := range w.brokers {
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes and copies the brokers' logs to the end of the record.
func (w *world) end() {
	for _, b := range w.brokers {
		if b.cmd != nil {
			b.kill()
		}
		if text, err := os.ReadFile(b.logPath); err == nil {
			w.log.printf("log of broker %s:\n%s", b.name, text)
		}
	}
	w.log.close()
	_ = os.RemoveAll(w.temp)
}
