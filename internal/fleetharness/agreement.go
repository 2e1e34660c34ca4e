package fleetharness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/agreement"
	"junctionwharf/internal/console"
)

const (
	// agreementCallTimeout bounds a console call about the replicated configuration. The answer to a proposal comes
	// only after the commit.
	agreementCallTimeout = 10 * time.Second
	// statusPollInterval is the interval at which a broker's status is polled.
	statusPollInterval = 20 * time.Millisecond
	// roleLeader is the role of a leader in agreement.Status.
	roleLeader = "leader"
	// outcomeBrokerDown is the outcome of a proposal to a broker that does not answer.
	outcomeBrokerDown = "broker down"
	// consoleEnd is the last line of an answer from the console.
	consoleEnd = "\nEOT"
)

// errNoLeader reports that no voter became leader before the timeout.
var errNoLeader = errors.New("no voter became leader in time")

// AgreementReport summarizes the replication of the configuration during a run.
type AgreementReport struct {
	Conflict
	ProposalOutcomes map[string]int `json:"ends"`                // by the kind of error; "" if accepted
	MeanBytesPerS    float64        `json:"bytes_a_second"`      // bytes sent per second, mean over brokers
	MaxBytesPerS     float64        `json:"most_bytes_a_second"` // bytes sent per second by the broker that sent most
	MemoryMB         float64        `json:"memory_mb"`           // mean resident memory of a broker
}

func newAgreementReport(conflict Conflict, proposals map[string]int, costs []Cost) *AgreementReport {
	report := &AgreementReport{Conflict: conflict, ProposalOutcomes: proposals}
	for _, cost := range costs {
		report.MeanBytesPerS += cost.Sent / float64(len(costs))
		report.MaxBytesPerS = max(report.MaxBytesPerS, cost.Sent)
		report.MemoryMB += cost.MemoryMB / float64(len(costs))
	}
	return report
}

// AgreementCall sends a command about the configuration to a broker's console and returns the answer without the end
// marker.
func (f *Fleet) AgreementCall(broker int, call string) (string, error) {
	text, err := console.Call(f.consoleAddress(broker), "agree "+call, agreementCallTimeout)
	return trimConsoleEnd(text), err
}

func trimConsoleEnd(text []byte) string {
	return strings.TrimSuffix(strings.TrimSpace(string(text)), consoleEnd)
}

// agreementStatus returns a broker's status in the replication of the configuration.
func (f *Fleet) agreementStatus(broker int) (status agreement.Status, err error) {
	text, err := f.AgreementCall(broker, "status")
	if err != nil {
		return status, err
	}
	err = json.Unmarshal([]byte(text), &status)
	return status, err
}

// AwaitStatus polls a broker's status until wanted returns true for it.
func (f *Fleet) AwaitStatus(
	ctx context.Context, broker int, wanted func(agreement.Status) bool,
) (agreement.Status, error) {
	for {
		status, err := f.agreementStatus(broker)
		if err == nil && wanted(status) {
			return status, nil
		}
		if ctx.Err() != nil {
			return status, fmt.Errorf("%s did not reach the expected status: %+v: %w",
				brokerName(broker), status, errors.Join(ctx.Err(), err))
		}
		sleepFor(ctx, statusPollInterval)
	}
}

// Leader waits until a voter is leader with a lease and returns its number.
func (f *Fleet) Leader(ctx context.Context) (int, error) {
	for ctx.Err() == nil {
		for i := range f.scenario.Agreement.Voters {
			status, err := f.agreementStatus(i)
			if err == nil && status.Role == roleLeader && !status.Restricted {
				return i, nil
			}
		}
		sleepFor(ctx, statusPollInterval)
	}
	return -1, errNoLeader
}

// repeatKey is the setting that proposals change: whether reads may be retried.
const repeatKey = "class." + readClass + ".repeat"

// proposeChange proposes a change of one key at a broker and returns the console's answer.
func (f *Fleet) proposeChange(broker int, expected uint64, author, reason, key, value string) (string, error) {
	text, err := json.Marshal(clusterconfig.Proposal{
		Expected: expected,
		Author:   author,
		Reason:   reason,
		Changes:  []clusterconfig.Change{{Key: key, Value: value}},
	})
	if err != nil {
		return "", err
	}
	return f.AgreementCall(broker, "propose "+string(text))
}

// proposeChanges proposes a change at a random broker every Agreement.ChangeIntervalS seconds until a given time. It
// counts the proposals by outcome.
func (f *Fleet) proposeChanges(ctx context.Context, until time.Duration) map[string]int {
	outcomes := map[string]int{}
	random := rand.New(rand.NewPCG(f.scenario.Seed, proposalStream))
	interval := seconds(f.scenario.Agreement.ChangeIntervalS)
	startedAt := f.recorder.start()
	for n := 0; ctx.Err() == nil; n++ {
		next := startedAt + time.Duration(n+1)*interval
		if next >= until {
			break
		}
		sleepFor(ctx, next-Now())
		broker := random.IntN(len(f.brokers))
		outcomes[f.proposeToggle(broker, n)]++
	}
	return outcomes
}

// proposeToggle proposes to toggle repeatKey at a broker. It returns the kind of the error, "" if the change was
// accepted.
func (f *Fleet) proposeToggle(broker, number int) string {
	if f.brokers[broker].isDown() {
		return outcomeBrokerDown
	}
	status, err := f.agreementStatus(broker)
	if err != nil {
		return outcomeBrokerDown
	}
	value := "yes"
	if status.Version%2 == 0 {
		value = "no"
	}
	text, err := f.proposeChange(broker, status.Version, "harness", fmt.Sprintf("change %d", number), repeatKey, value)
	if err != nil {
		return outcomeBrokerDown
	}
	var answer struct{ Kind string }
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		return outcomeBrokerDown
	}
	return answer.Kind
}
