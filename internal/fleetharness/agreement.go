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
	// agreementCallTimeout bounds a call about the configuration: a proposal is answered once it is committed.
	agreementCallTimeout = 10 * time.Second
	// statusPollInterval is the time between two looks at a broker's status.
	statusPollInterval = 20 * time.Millisecond
	// roleLeader is the role of a leader in agreement.Status.
	roleLeader = "leader"
	// outcomeBrokerDown is what becomes of a proposal to a broker that does not answer.
	outcomeBrokerDown = "broker down"
	// consoleEnd ends an answer of the console.
	consoleEnd = "\nEOT"
)

// errNoLeader is that of a replicated configuration that nobody leads in time.
var errNoLeader = errors.New("nobody leads")

// AgreementReport is what replicating the configuration came to in a run.
type AgreementReport struct {
	Conflict
	ProposalOutcomes map[string]int `json:"ends"`                // by the kind of error, "" for accepted
	MeanBytesPerS    float64        `json:"bytes_a_second"`      // sent by a broker
	MaxBytesPerS     float64        `json:"most_bytes_a_second"` // sent by the one that sent most
	MemoryMB         float64        `json:"memory_mb"`           // resident, of a broker in the mean
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

// AgreementCall makes a call about the configuration on a broker's console, and returns its answer without the last
// line.
func (f *Fleet) AgreementCall(broker int, call string) (string, error) {
	text, err := console.Call(f.consoleAddress(broker), "agree "+call, agreementCallTimeout)
	return trimConsoleEnd(text), err
}

func trimConsoleEnd(text []byte) string {
	return strings.TrimSuffix(strings.TrimSpace(string(text)), consoleEnd)
}

// agreementStatus is what a broker says of its part in the replicated configuration.
func (f *Fleet) agreementStatus(broker int) (status agreement.Status, err error) {
	text, err := f.AgreementCall(broker, "status")
	if err != nil {
		return status, err
	}
	err = json.Unmarshal([]byte(text), &status)
	return status, err
}

// AwaitStatus asks a broker for its status until it is as wanted.
func (f *Fleet) AwaitStatus(
	ctx context.Context, broker int, wanted func(agreement.Status) bool,
) (agreement.Status, error) {
	for {
		status, err := f.agreementStatus(broker)
		if err == nil && wanted(status) {
			return status, nil
		}
		if ctx.Err() != nil {
			return status, fmt.Errorf("%s is not as wanted: %+v: %w",
				brokerName(broker), status, errors.Join(ctx.Err(), err))
		}
		sleepFor(ctx, statusPollInterval)
	}
}

// Leader is the number of the broker that leads, once one does and has a lease.
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

// propose proposes a change of one key at a broker, and returns the console's answer.
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

// proposeChanges proposes a change at a random broker each Agreement.ChangeIntervalS until a time, and counts what
// became of them.
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

// proposeToggle proposes the other value of repeatKey at a broker, and returns the kind of its error, "" for accepted.
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
