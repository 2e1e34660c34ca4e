package agreement

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"junctionwharf/clusterconfig"
)

// callTimeout is how long an operator's command waits for the leader's reply. The reply to a proposal arrives when the
// change is active. callTimeout must therefore exceed the longest time that a change takes: until the leases of
// unreachable brokers have ended. The console's timeout is a little longer.
const callTimeout = 6 * time.Second

// defaultHistory is the number of versions that the command history returns by default: about one screen of text.
const defaultHistory = 20

// Operator commands.
const (
	commandStatus   = "status"
	commandMembers  = "members"
	commandHistory  = "history"
	commandDiff     = "diff"
	commandExport   = "export"
	commandPropose  = "propose"
	commandRollback = "rollback"
)

// CommandUsage lists the commands that HandleCommand accepts.
const CommandUsage = "status, members, history [N], diff VERSION, export, propose JSON, " +
	"rollback VERSION AUTHOR REASON"

// Difference is a key whose value has changed since a version.
type Difference struct {
	Key string `json:"key"`
	Old string `json:"then"`
	New string `json:"now"`
}

// HandleCommand runs an operator's command and returns a line of JSON. The answer to a failed command has the keys
// error and kind.
func (s *Service) HandleCommand(line string) []byte {
	command, arguments, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch command {
	case commandStatus:
		return s.answerLocally(func() any { return s.status() })
	case commandExport:
		return s.answerLocally(func() any { return s.config.document() })
	}
	call, err := parseCall(command, arguments)
	if err != nil {
		return failure(kindInvalid, publicMessage(err))
	}
	return s.answerByLeader(call)
}

var errRollbackUsage = errors.New("rollback: want VERSION AUTHOR REASON")

// unknownCommandError is returned for an unknown command.
type unknownCommandError struct{ command string }

func (e *unknownCommandError) Error() string {
	return fmt.Sprintf("unknown command %q, want one of: %s", e.command, CommandUsage)
}

// parseCall parses a command that the leader has to answer.
func parseCall(command, arguments string) (call operatorCall, err error) {
	call.Command = command
	switch command {
	case commandMembers:
	case commandHistory:
		call.Version = defaultHistory
		if arguments != "" {
			call.Version, err = strconv.ParseUint(arguments, 10, 32)
		}
	case commandDiff:
		call.Version, err = strconv.ParseUint(arguments, 10, 64)
	case commandPropose:
		call.Proposal = &clusterconfig.Proposal{}
		err = json.Unmarshal([]byte(arguments), call.Proposal)
	case commandRollback:
		parts := strings.SplitN(arguments, " ", 3)
		if len(parts) < 3 {
			return call, errRollbackUsage
		}
		call.Version, err = strconv.ParseUint(parts[0], 10, 64)
		call.Proposal = &clusterconfig.Proposal{Author: parts[1], Reason: parts[2]}
	default:
		return call, &unknownCommandError{command}
	}
	return call, err
}

// answerByLeader sends a call to the leader and returns its reply, or a failure if there is no reply in time.
func (s *Service) answerByLeader(call operatorCall) []byte {
	replies := make(chan operatorReply, 1)
	s.do(func() { s.callLeader(call, func(r operatorReply) { replies <- r }) })
	timeout := time.NewTimer(callTimeout)
	defer timeout.Stop()
	select {
	case r := <-replies:
		if r.Error != "" {
			return failure(r.Kind, r.Error)
		}
		return append(r.JSON, '\n')
	case <-timeout.C:
	case <-s.done:
	}
	if call.Proposal != nil {
		return failure(kindUnknown, "no leader answered in time: it is unknown whether the change became active")
	}
	return failure(kindNoLeader, "no leader answers")
}

// answerLocally answers a command without the leader. It runs the function answer on the service goroutine.
func (s *Service) answerLocally(answer func() any) []byte {
	answers := make(chan []byte, 1)
	s.do(func() {
		line, err := json.Marshal(answer())
		if err != nil {
			line = failure(kindInvalid, err.Error())
		}
		answers <- append(line, '\n')
	})
	select {
	case line := <-answers:
		return line
	case <-s.done:
		return failure(kindNoLeader, "stopping")
	}
}

// answerCall answers a call as the leader. It does not reply to an unknown command, whose caller then times out.
func (s *Service) answerCall(now clusterconfig.Micros, call operatorCall) {
	state := s.voting.voter.State()
	switch call.Command {
	case commandMembers:
		s.reply(call, s.status(), nil)
	case commandHistory:
		n := min(int(min(call.Version, clusterconfig.MaxHistory)), len(state.History))
		s.reply(call, state.History[len(state.History)-n:], nil)
	case commandDiff:
		differences, err := differencesSince(state, call.Version)
		s.reply(call, differences, err)
	case commandRollback:
		earlier, err := state.DocumentAt(call.Version)
		if err != nil || call.Proposal == nil {
			s.reply(call, nil, err)
			return
		}
		s.proposeFor(now, call, state.Document.Revert(earlier, call.Proposal.Author, call.Proposal.Reason))
	case commandPropose:
		if call.Proposal != nil {
			s.proposeFor(now, call, *call.Proposal)
		}
	}
}

// differencesSince returns the keys whose values have changed since a version.
func differencesSince(state *clusterconfig.State, version uint64) ([]Difference, error) {
	earlier, err := state.DocumentAt(version)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for _, c := range earlier.Revert(state.Document, "", "").Changes {
		differences = append(differences, Difference{Key: c.Key, Old: earlier.Values[c.Key], New: c.Value})
	}
	return differences, nil
}

// proposeFor proposes a change and replies when the outcome is known.
func (s *Service) proposeFor(now clusterconfig.Micros, call operatorCall, p clusterconfig.Proposal) {
	s.carryOut(s.voting.voter.Propose(now, p, func(e clusterconfig.Entry, err error) { s.reply(call, e, err) }))
}

// reply sends the leader's answer to the broker that sent the call.
func (s *Service) reply(call operatorCall, answer any, err error) {
	r := operatorReply{Broker: call.Broker, Number: call.Number}
	if err == nil {
		r.JSON, err = json.Marshal(answer)
	}
	if err != nil {
		r.Error = err.Error()
		r.Kind = kindOf(err)
	}
	s.deliver(nil, downstreamMessage{Replies: []operatorReply{r}})
}
