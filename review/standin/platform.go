package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names and times of the deployment's classes, as in the brief of recife-main.
const (
	classRead    = "lesson-read"
	classWrite   = "record-write"
	classExport  = "bulk-export"
	readWaitMS   = 750
	writeWaitMS  = 1200
	exportWaitMS = 2500
)

// limits are the limits of one broker.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// platform starts brokers as the deploy file says, and stands in for discovery.
type platform struct {
	root    string // of the repository
	folder  string // temporary
	rec     *recorder
	nodes   []*storageNode
	brokers []*brokerProcess
	limits  limits

	agent *http.Server
	addr  string // of discovery's agent
}

// brokerProcess is one running broker.
type brokerProcess struct {
	name    string
	listen  string
	peer    string
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

type listEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// list returns the whole list of nodes in discovery's form.
func (p *platform) list() []byte {
	var entries []listEntry
	for _, n := range p.nodes {
		entries = append(entries, listEntry{n.name, n.dial, n.zone, "std-2c", n.shard, "SERVING", 1, 0})
	}
	text, _ := json.Marshal(map[string]any{"seq": 41, "whole": true, "hosts": entries})
	return text
}

// startDiscovery serves the list, which never changes. A watch waits for its time and is answered with no entries.
func (p *platform) startDiscovery() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "" {
			_, _ = w.Write(p.list())
			return
		}
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		_, _ = w.Write([]byte(`{"seq":41,"whole":false,"hosts":[]}`))
	})
	p.agent = &http.Server{Handler: mux}
	go func() { _ = p.agent.Serve(listener) }()
	return nil
}

// settings returns the settings object of a small deployment with the figures of recife-main.
func (p *platform) settings(ordinal, brokers int) map[string]any {
	class := func(name, effect string, aim, deadline, worth, late float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "keyScope": "all", "aim": aim * 1000, "deadline": deadline * 1000,
			"window": 5000000, "importance": worth, "lateWorth": late, "stream": false}
	}
	plan := func(name string, nominal, floor, parts, price float64) map[string]any {
		return map[string]any{"name": name, "nominal": nominal, "floorRate": floor, "ceilingRate": 0, "capDepth": 0, "tolerance": 0,
			"parts": parts, "price": price}
	}
	return map[string]any{
		"bounds": map[string]any{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerRequest": 0, "cpuUsPerS": 300000,
			"maxAttempts": 3, "maxOpen": 20000, "maxRetryAfter": 1000000, "peers": true, "probes": true, "retryAfter": true,
			"secondCopies": false, "streamsPerConn": 100},
		"classes": []any{
			class(classRead, "safe", 150, readWaitMS, 3, 0.1),
			class(classWrite, "unsafe", 200, writeWaitMS, 2, 0.1),
			class(classExport, "safe", 750, exportWaitMS, 1, 0.2),
		},
		"clients":       map[string]any{"marksRetry": false},
		"discovery":     "automatic",
		"family":        "stores",
		"invariants":    map[string]any{"answerSlack": 8000, "cold": 17000000, "coldShare": 0.18, "drainGrace": 2000000, "fall": 3000000, "fallMultiple": 4, "mustAskIn": 10000000},
		"kinds":         []string{"std-2c", "slow-2c"},
		"nInstances":    brokers,
		"ordinal":       ordinal,
		"prices":        map[string]any{"peer": 0.008, "probe": 0.0086, "waste": 0.039},
		"scoreParts":    map[string]any{"whole": 0.75, "worstClass": 0.1, "worstTenant": 0, "worstWindow": 0.15},
		"serviceLevels": []any{plan("basico", 6.7, 3.4, 1, 0.72), plan("padrao", 13, 13, 3, 0.9), plan("completo", 27, 32, 4, 1.5)},
		"specifics": map[string]any{"idleWorth": 0.05, "maxUnits": 8, "nShards": len(p.nodes), "tellsElsewhere": false, "usePeriod": 500000,
			"usualUnits": 2.13, "withinShare": 0.4, "writes": []bool{false, true, false}, "youngLimit": 41},
		"stage": 0, "telemetry": map[string]any{"fields": []string{"busy_reqs"}, "via": "inline"}, "tick": 2000,
		"tiers": []string{"school-store"}, "weights": "nominal", "zone": "hall-a", "zones": []string{"hall-a", "hall-b"},
	}
}

// startBrokers starts the given number of brokers and waits until each answers PING.
func (p *platform) startBrokers(count int) error {
	run, err := deployLine(filepath.Join(p.root, "deploy", "balancer.toml"), "run")
	if err != nil {
		return err
	}
	var peers []string
	for i := range count {
		b := &brokerProcess{name: fmt.Sprintf("n%d", i), ended: make(chan struct{})}
		if b.listen, err = freePort("tcp"); err != nil {
			return err
		}
		if b.peer, err = freePort("udp"); err != nil {
			return err
		}
		peers = append(peers, b.peer)
		p.brokers = append(p.brokers, b)
	}
	for i, b := range p.brokers {
		config := map[string]any{
			"name": b.name, "listen": b.listen, "discovery": p.addr, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", i),
			"limits": p.limits, "peer_listen": b.peer, "peers": peers,
			"known": json.RawMessage(p.list()), "settings": p.settings(i, count),
		}
		text, _ := json.MarshalIndent(config, "", " ")
		path := filepath.Join(p.folder, b.name+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		if err := b.start(p, run, path); err != nil {
			return err
		}
	}
	for _, b := range p.brokers {
		if err := b.awaitReady(10 * time.Second); err != nil {
			return err
		}
		p.rec.line("broker %s answers PING at %s, process %d", b.name, b.listen, b.command.Process.Pid)
	}
	return nil
}

func (b *brokerProcess) start(p *platform, run, config string) error {
	log, err := os.Create(filepath.Join(p.folder, b.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	b.command = exec.Command("/bin/sh", "-c", run)
	b.command.Dir = p.root
	b.command.Stdout, b.command.Stderr = log, log
	b.command.Env = append(os.Environ(), "BALANCER_NAME="+b.name, "BALANCER_LISTEN="+b.listen, "BALANCER_DISCOVERY="+p.addr,
		"BALANCER_CONFIG="+config, "TMPDIR="+p.folder)
	b.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.command.Start(); err != nil {
		return err
	}
	go func() {
		b.err = b.command.Wait()
		close(b.ended)
	}()
	return nil
}

// awaitReady waits until the broker answers PING.
func (b *brokerProcess) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", b.listen)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, err = conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		line := ""
		if err == nil {
			line, _ = bufio.NewReader(conn).ReadString('\n')
		}
		_ = conn.Close()
		if line == "+PONG\r\n" {
			return nil
		}
	}
	return fmt.Errorf("broker %s: no +PONG within %v", b.name, within)
}

// running reports whether the broker's process has not ended.
func (b *brokerProcess) running() bool {
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}

// memory returns the anonymous memory of the broker's process in bytes: without the program's text and other files.
func (b *brokerProcess) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib << 10
		}
	}
	return 0
}

// stop ends all brokers and stand-ins.
func (p *platform) stop() {
	for _, b := range p.brokers {
		if b.command != nil && b.command.Process != nil && b.running() {
			_ = b.command.Process.Kill()
			<-b.ended
		}
	}
	if p.agent != nil {
		_ = p.agent.Close()
	}
	_ = os.RemoveAll(p.folder)
}

// deployLine returns the value of a key of the deploy file.
func deployLine(path, key string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		rest, found := strings.CutPrefix(line, key+" = \"")
		if value, _, closed := strings.Cut(rest, "\""); found && closed {
			return value, nil
		}
	}
	return "", errors.New(path + ": no " + key)
}

// ports that were given out and are not bound yet
var givenPorts sync.Map

func freePort(network string) (string, error) {
	for {
		address := ""
		if network == "udp" {
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				return "", err
			}
			address = conn.LocalAddr().String()
			_ = conn.Close()
		} else {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return "", err
			}
			address = listener.Addr().String()
			_ = listener.Close()
		}
		if _, given := givenPorts.LoadOrStore(network+address, true); !given {
			return address, nil
		}
	}
}
