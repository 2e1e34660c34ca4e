package fleetharness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"junctionwharf/internal/agreement"
	"junctionwharf/internal/console"
	"junctionwharf/internal/daemon"
)

const (
	// hollowProgram is the program that runs hollow brokers, in the daemon's directory.
	hollowProgram = "brokerbench"
	// hollowLogName is the process name for log lines of a hollow process that do not name a broker.
	hollowLogName = "hollow"
	// hollowResponseTime is the assumed response time of the synthetic requests of hollow brokers.
	hollowResponseTime = 20 * time.Millisecond
	// hollowSeedShift reserves the low bits of a hollow broker's seed for the broker's number.
	hollowSeedShift = 16
	// configuredPollInterval is the interval at which a broker is polled for its configuration. Hundreds of brokers are
	// polled at the same time.
	configuredPollInterval = 50 * time.Millisecond
)

// errNotConfigured reports that a broker did not receive a lease in time.
var errNotConfigured = errors.New("broker did not receive a lease of the configuration in time")

// HollowBroker is the configuration of one hollow broker. The struct tags are the keys of the file that the hollow
// program reads.
type HollowBroker struct {
	Config json.RawMessage      `json:"config"`
	Site   string               `json:"site"` // path of the site file; empty for none
	Demand daemon.SyntheticLoad `json:"demand"`
}

// hollowProcess is a process that runs several hollow brokers.
type hollowProcess struct {
	command *exec.Cmd
	done    chan struct{} // closed when the process has exited
	brokers []*broker
}

// startHollowBrokers starts all hollow brokers.
func (f *Fleet) startHollowBrokers() error {
	total := f.scenario.totalBrokers()
	perProcess := f.scenario.Hollow.PerProcess
	for first := f.scenario.Brokers; first < total; first += perProcess {
		process := &hollowProcess{
			done:    make(chan struct{}),
			brokers: f.brokers[first:min(total, first+perProcess)],
		}
		if err := f.startHollowProcess(process); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startHollowProcess(p *hollowProcess) error {
	path := filepath.Join(f.dir, fmt.Sprintf("hollow-%d.json", p.brokers[0].number))
	if err := f.writeHollowBrokers(path, p.brokers); err != nil {
		return err
	}
	p.command = exec.Command(filepath.Join(filepath.Dir(f.Program), hollowProgram), "hollow", "--brokers", path)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := p.command.StderrPipe()
	if err != nil {
		return err
	}
	if err := f.startOnThread(p.command); err != nil {
		return err
	}
	f.hollowProcesses = append(f.hollowProcesses, p)
	for _, b := range p.brokers {
		b.setProcess(p.command, p.done)
	}
	go func() { // ends with the process
		defer close(p.done)
		f.readLog(hollowLogName, output)
		_ = p.command.Wait() // it is killed, so the error is expected
	}()
	return nil
}

// writeHollowBrokers writes the file with the brokers' configurations that the hollow program reads.
func (f *Fleet) writeHollowBrokers(path string, brokers []*broker) error {
	var all []HollowBroker
	for _, b := range brokers {
		config, sitePath, err := f.configure(b, nil)
		if err != nil {
			return err
		}
		all = append(all, HollowBroker{
			Config: config,
			Site:   sitePath,
			Demand: daemon.SyntheticLoad{
				Rate:         f.scenario.Hollow.Rate,
				Volumes:      f.scenario.Hollow.Volumes,
				ResponseTime: hollowResponseTime,
				Seed:         f.scenario.Seed<<hollowSeedShift + uint64(b.number),
			},
		})
	}
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// awaitAllConfigured waits until the consoles of all brokers answer and, if the configuration is replicated, all
// brokers have a lease.
func (f *Fleet) awaitAllConfigured(ctx context.Context) error {
	return f.eachBroker(func(b *broker) error {
		_, done := b.process()
		for {
			select {
			case <-done:
				return fmt.Errorf("%s: %w", brokerName(b.number), errEndedAtStart)
			default:
			}
			if f.isConfigured(b) {
				return nil
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s: %w", brokerName(b.number), errNotConfigured)
			}
			sleepFor(ctx, configuredPollInterval)
		}
	})
}

// isConfigured reports whether a broker's console answers and, if the configuration is replicated, the broker has a
// lease.
func (f *Fleet) isConfigured(b *broker) bool {
	text, err := console.Call(f.consoleAddress(b.number), "agree status", consoleTimeout)
	if err != nil || f.scenario.Agreement.Voters == 0 {
		return err == nil
	}
	var status agreement.Status
	if err := json.Unmarshal([]byte(trimConsoleEnd(text)), &status); err != nil {
		return false
	}
	return !status.Restricted && status.Version > 0
}
