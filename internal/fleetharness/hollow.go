package fleetharness

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"junctionwharf/internal/agreement"
	"junctionwharf/internal/console"
	"junctionwharf/internal/daemon"
)

// Hollow is brokers beside the real ones that are only the control side of one, many to a process.
type Hollow struct {
	Brokers    int     `toml:"brokers"`
	PerProcess int     `toml:"each"`    // to a process; 0: 31
	Rate       float64 `toml:"rate"`    // requests a second and broker that are drawn, and go nowhere
	Volumes    int     `toml:"volumes"` // that they are of, the same ones at all brokers; 0: 1
}

// The bounds of hollow brokers, and what a broker is taken to need before it is started.
const (
	mostHollow    = 1500
	mostProcesses = 400
	mostMemoryMB  = 12 << 10
	hollowMB      = 8
)

func (s *Scenario) total() int { return s.Brokers + s.Hollow.Brokers }

// check completes it and names the first key that makes no sense.
func (s *Scenario) checkHollow() error {
	h := &s.Hollow
	if h.PerProcess == 0 {
		h.PerProcess = 31
	}
	if h.Volumes == 0 {
		h.Volumes = 1
	}
	switch {
	case h.Brokers < 0 || h.Brokers > mostHollow:
		return fmt.Errorf("hollow.brokers: %d is not within 0 to %d", h.Brokers, mostHollow)
	case h.PerProcess < 1 || h.PerProcess > 100:
		return fmt.Errorf("hollow.each: %d is not within 1 to 100", h.PerProcess)
	case h.Rate < 0 || h.Rate > 2000 || h.Volumes < 1 || h.Volumes > 100_000:
		return fmt.Errorf("hollow: rate %v is not within 0 to 2000, or volumes %d not within 1 to 100000", h.Rate, h.Volumes)
	}
	processes := s.Brokers + (h.Brokers+h.PerProcess-1)/h.PerProcess
	if h.Brokers > 0 && processes > mostProcesses {
		return fmt.Errorf("hollow.each: %d processes are over %d", processes, mostProcesses)
	}
	if need := float64(s.Brokers)*s.MemoryLimitMB + float64(h.Brokers)*hollowMB; h.Brokers > 0 && need > mostMemoryMB {
		return fmt.Errorf("hollow.brokers: %.0f MB would be over %d: %d processes of %.0f MB and %d hollow brokers of %d MB", need, mostMemoryMB, s.Brokers, s.MemoryLimitMB, h.Brokers, hollowMB)
	}
	return nil
}

// HollowBroker is what `brokerbench hollow` is told of one broker.
type HollowBroker struct {
	Config json.RawMessage      `json:"config"`
	Site   string               `json:"site"` // a path, empty for none
	Demand daemon.SyntheticLoad `json:"demand"`
}

// group is a process of hollow brokers.
type hollowProcess struct {
	command *exec.Cmd
	done    chan struct{}
	brokers []*broker
}

// launchHollow starts all hollow brokers. The program stands beside the broker's.
func (r *Fleet) launchHollow() error {
	lab := filepath.Join(filepath.Dir(r.Program), "brokerbench")
	h := r.scenario.Hollow
	for first := r.scenario.Brokers; first < r.scenario.total(); first += h.PerProcess {
		g := &hollowProcess{brokers: r.brokers[first:min(r.scenario.total(), first+h.PerProcess)], done: make(chan struct{})}
		var all []HollowBroker
		for _, p := range g.brokers {
			text, site, err := r.configure(p, nil)
			if err != nil {
				return err
			}
			all = append(all, HollowBroker{Config: text, Site: site, Demand: daemon.SyntheticLoad{Rate: h.Rate, Volumes: h.Volumes, ResponseTime: 20 * time.Millisecond,
				Seed: r.scenario.Seed<<16 + uint64(p.number)}})
		}
		path := filepath.Join(r.dir, fmt.Sprintf("hollow-%d.json", first))
		text, err := json.Marshal(all)
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		g.command = exec.Command(lab, "hollow", "--brokers", path)
		g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		errs, err := g.command.StderrPipe()
		if err != nil {
			return err
		}
		failed := make(chan error)
		r.spawn <- func() { failed <- g.command.Start() }
		if err := <-failed; err != nil {
			return err
		}
		r.hollowProcesses = append(r.hollowProcesses, g)
		for _, p := range g.brokers {
			p.mu.Lock()
			p.command, p.done = g.command, g.done
			p.mu.Unlock()
		}
		go func() {
			defer close(g.done)
			r.followAll(errs)
			_ = g.command.Wait()
		}()
	}
	return nil
}

// KillHollowProcess ends a process of hollow brokers.
func (r *Fleet) KillHollowProcess(process int) {
	g := r.hollowProcesses[process]
	for _, p := range g.brokers {
		p.setDown(true)
	}
	_ = g.command.Process.Kill()
	<-g.done
	for _, p := range g.brokers {
		r.recorder.addLine(LogLine{At: Now() - r.recorder.startedAt, Process: fmt.Sprintf("broker-%d", p.number), Message: "killed"})
	}
}

// followAll takes what a process of many brokers logs into the journal.
func (r *Fleet) followAll(from io.Reader) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		r.recorder.addLine(r.lineOf("hollow", lines.Bytes()))
	}
}

// agreed waits until each broker's console answers and, where they agree, each has a lease.
func (r *Fleet) agreedAll(ctx context.Context) error {
	return r.each(func(p *broker) error {
		for {
			select {
			case <-p.done:
				return fmt.Errorf("broker-%d ended at its start", p.number)
			default:
			}
			text, err := console.Call(r.address(1, p.number, 7001), "agree status", 5*time.Second)
			var s agreement.Status
			if err == nil && (r.scenario.Agreement.Voters == 0 || json.Unmarshal([]byte(strings.TrimSuffix(strings.TrimSpace(string(text)), "\nEOT")), &s) == nil && !s.Restricted && s.Version > 0) {
				return nil
			}
			if ctx.Err() != nil {
				return fmt.Errorf("broker-%d never came to agree: %s", p.number, text)
			}
			r.sleep(ctx, 50*time.Millisecond)
		}
	})
}

// each does something for all brokers, many at a time.
func (r *Fleet) each(do func(*broker) error) error {
	var wait sync.WaitGroup
	work, faults := make(chan *broker), make(chan error, len(r.brokers))
	for range 32 {
		wait.Go(func() {
			for p := range work {
				if err := do(p); err != nil {
					faults <- err
				}
			}
		})
	}
	for _, p := range r.brokers {
		work <- p
	}
	close(work)
	wait.Wait()
	close(faults)
	var all []error
	for err := range faults {
		if all = append(all, err); len(all) == 3 {
			break
		}
	}
	return errors.Join(all...)
}

// Cost is what the control side of one broker cost over the traffic, by the second.
type Cost struct {
	Broker       int     `json:"broker"`
	Hollow       bool    `json:"hollow,omitempty"`
	Role         string  `json:"role"`            // leader, voter, feeder or leaf
	Children     int     `json:"feeds,omitempty"` // brokers that hear of the agreed document from it
	Sent         float64 `json:"sent"`            // bytes a second of agreement
	Received     float64 `json:"received"`
	PeerSent     float64 `json:"told"`  // messages a second to other brokers
	PeerReceived float64 `json:"heard"` // and from them
	CPU          float64 `json:"cpu"`   // part of a core; of a hollow broker its part of the process
	MemoryMB     float64 `json:"memory_mb"`
}

// meter is a reading of what a broker has spent so far.
type meterReading struct {
	at      time.Duration
	figures map[string]float64
	cpu     float64 // seconds
	memory  float64 // MB
	status  agreement.Status
}

// read reads all brokers' meters, by number. One that does not answer is left out.
func (r *Fleet) readMeters() []*meterReading {
	all := make([]*meterReading, len(r.brokers))
	shared := map[int]float64{}
	for _, g := range r.hollowProcesses {
		shared[g.command.Process.Pid] = float64(len(g.brokers))
	}
	_ = r.each(func(p *broker) error {
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		if p.isDown() || command == nil {
			return nil
		}
		text, err := console.Call(r.address(1, p.number, 7001), "vars", 5*time.Second)
		if err != nil {
			return nil
		}
		m := &meterReading{at: Now(), figures: map[string]float64{}}
		for line := range strings.Lines(string(text)) {
			name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
			value, _, _ := strings.Cut(rest, "|")
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				m.figures[name[strings.IndexByte(name, '.')+1:]] = v
			}
		}
		if r.scenario.Agreement.Voters > 0 {
			if m.status, err = r.agreementStatus(p.number); err != nil {
				return nil
			}
		}
		m.cpu, m.memory = ProcessUsage(command.Process.Pid)
		if n := shared[command.Process.Pid]; n > 0 {
			m.cpu, m.memory = m.cpu/n, m.memory/n
		}
		all[p.number] = m
		return nil
	})
	return all
}

// ProcessUsage is the processor time of a process in seconds, and its resident memory in MB.
func ProcessUsage(pid int) (cpu, memory float64) {
	const ticks = 100 // a second, as Linux tells times to programs
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if len(fields) > 12 {
			user, _ := strconv.ParseFloat(fields[11], 64)
			system, _ := strconv.ParseFloat(fields[12], 64)
			cpu = (user + system) / ticks
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		var size, resident float64
		_, _ = fmt.Sscan(string(text), &size, &resident)
		memory = resident * float64(os.Getpagesize()) / (1 << 20)
	}
	return cpu, memory
}

// costs are the differences between two readings, by broker.
func (r *Fleet) costs(from, to []*meterReading) []Cost {
	var all []Cost
	for i, b := range to {
		a := from[i]
		if a == nil || b == nil || b.at <= a.at {
			continue
		}
		span := (b.at - a.at).Seconds()
		by := func(name string) float64 { return max(0, b.figures[name]-a.figures[name]) / span }
		c := Cost{Broker: i, Hollow: i >= r.scenario.Brokers, Role: b.status.Role, Children: len(b.status.Children), Sent: by("agree_bytes_sent"), Received: by("agree_bytes_received"),
			PeerSent: by("peer_sent"), PeerReceived: by("peer_heard"), CPU: max(0, b.cpu-a.cpu) / span, MemoryMB: b.memory}
		if c.Role == "follower" || c.Role == "" {
			c.Role = "leaf"
			if c.Children > 0 {
				c.Role = "feeder"
			}
		}
		all = append(all, c)
	}
	return all
}
