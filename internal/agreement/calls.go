package agreement

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"junctionwharf/clusterconfig"
)

// answerSpan is how long an operator's call waits for the leader, and a change for coming into force.
const answerSpan = 6 * time.Second

// Status is what `junctionwharf agree status` tells.
type Status struct {
	Name           string            `json:"name"`
	Role           string            `json:"role"` // leader, voter or follower
	Epoch          uint64            `json:"epoch"`
	Version        uint64            `json:"version"`
	PendingVersion uint64            `json:"preparing,omitempty"`
	Restricted     bool              `json:"restricted"`
	RestrictedMS   int64             `json:"restricted_ms,omitempty"`
	LeaseLeftMS    int64             `json:"lease_left_ms"`
	Parent         string            `json:"parent,omitempty"`
	Path           []string          `json:"path,omitempty"`
	Children       []string          `json:"children,omitempty"`
	Voters         map[string]string `json:"voters,omitempty"` // by name: connected or not
	Leader         string            `json:"leader,omitempty"`
	Term           uint64            `json:"term,omitempty"`
	Fault          string            `json:"fault,omitempty"`
	WaitingFor     []string          `json:"waits,omitempty"`  // brokers for which the change under way waits; the leader's
	Lagging        map[string]uint64 `json:"behind,omitempty"` // brokers that do not act on the version in force; the leader's
}

// CommandUsage are the words of an operator's call.
const CommandUsage = "status, members, history [N], diff VERSION, export, propose JSON, rollback VERSION AUTHOR REASON"

// HandleCommand answers an operator's call with JSON; an error has {"error": ..., "kind": ...}.
func (s *Service) HandleCommand(line string) []byte {
	word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	a := ask{Call: word}
	var err error
	switch word {
	case "status":
		return s.local(s.status)
	case "export":
		return s.local(func() any {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.holder.Document().Clone()
		})
	case "members":
	case "history":
		if a.Version = 20; rest != "" {
			a.Version, err = strconv.ParseUint(rest, 10, 32)
		}
	case "diff":
		a.Version, err = strconv.ParseUint(rest, 10, 64)
	case "propose":
		a.Proposal = &clusterconfig.Proposal{}
		err = json.Unmarshal([]byte(rest), a.Proposal)
		if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) {
			return failure("invalid", typeNames.Replace(err.Error()))
		}
	case "rollback":
		parts := strings.SplitN(rest, " ", 3)
		if len(parts) < 3 {
			return failure("invalid", "rollback wants VERSION AUTHOR REASON")
		}
		a.Version, err = strconv.ParseUint(parts[0], 10, 64)
		a.Proposal = &clusterconfig.Proposal{Author: parts[1], Reason: parts[2]}
	default:
		return failure("invalid", fmt.Sprintf("unknown call %q: %s", word, CommandUsage))
	}
	if err != nil {
		return failure("invalid", err.Error())
	}
	came := make(chan reply, 1)
	s.do(func() { s.ask(a, func(r reply) { came <- r }) })
	late := time.NewTimer(answerSpan)
	defer late.Stop()
	select {
	case r := <-came:
		if r.Error != "" {
			return failure(r.Kind, r.Error)
		}
		return append(r.Text, '\n')
	case <-late.C:
	case <-s.done:
	}
	if a.Proposal != nil {
		return failure("unknown", "no leader answered in time: whether the change came into force is not known")
	}
	return failure("none", "no leader answers")
}

// typeNames keeps the names by which the console has always told the types of a faulty proposal, whatever they are called here.
var typeNames = strings.NewReplacer(
	"type "+reflect.TypeFor[[]clusterconfig.Change]().String(), "type []agree.Change",
	"type "+reflect.TypeFor[clusterconfig.Change]().String(), "type agree.Change",
	"type "+reflect.TypeFor[clusterconfig.Proposal]().String(), "type agree.Proposal",
	"field "+reflect.TypeFor[clusterconfig.Change]().Name()+".", "field Change.",
	"field "+reflect.TypeFor[clusterconfig.Proposal]().Name()+".", "field Proposal.",
)

func failure(kind, text string) []byte {
	line, _ := json.Marshal(map[string]string{"error": text, "kind": kind})
	return append(line, '\n')
}

// local is answered by this broker, leader or not.
func (s *Service) local(what func() any) []byte {
	came := make(chan []byte, 1)
	s.do(func() {
		text, err := json.Marshal(what())
		if err != nil {
			text = failure("invalid", err.Error())
		}
		came <- append(text, '\n')
	})
	select {
	case text := <-came:
		return text
	case <-s.done:
		return failure("none", "stopping")
	}
}

func (s *Service) status() any {
	now := s.now()
	s.mu.Lock()
	view := s.holder.View(now)
	st := Status{Name: s.o.Name, Role: "follower", Epoch: s.holder.Document().Epoch, Version: view.Version, PendingVersion: view.Preparing, Restricted: view.Restricted,
		LeaseLeftMS: s.holder.LeaseLeft(now) / 1000}
	if view.Restricted {
		st.RestrictedMS = (now - s.holder.RestrictedSince()) / 1000
	}
	s.mu.Unlock()
	if s.parent != nil {
		st.Parent, st.Path = s.parent.name, s.parent.path
	}
	for name := range s.children {
		st.Children = append(st.Children, name)
	}
	slices.Sort(st.Children)
	if v := s.voter; v != nil {
		leader, term := v.Status()
		st.Role, st.Leader, st.Term, st.Voters = "voter", s.ids[leader], term, map[string]string{}
		for _, m := range s.o.Voters {
			switch {
			case m.Name == s.o.Name:
				st.Voters[m.Name] = "self"
			case s.dialed[m.Name] != nil && s.voters[m.Name] != nil:
				st.Voters[m.Name] = "connected"
			case s.dialed[m.Name] != nil || s.voters[m.Name] != nil:
				st.Voters[m.Name] = "connected one way"
			default:
				st.Voters[m.Name] = "not connected"
			}
		}
		if err := v.Err(); err != nil {
			st.Fault = err.Error()
		}
		if leader == v.ID() {
			st.Leader = s.o.Name
		}
		if v.Leads() {
			st.Role = "leader"
			st.WaitingFor, st.Lagging = v.Keeper().Waits(now), v.Keeper().Behind(now)
		}
	}
	return st
}

// Difference is a line of a diff.
type Difference struct {
	Key string `json:"key"`
	Old string `json:"then"`
	New string `json:"now"`
}

// answer is the leader's.
func (s *Service) answer(now clusterconfig.Micros, a ask) {
	v := s.voter
	say := func(what any, err error) {
		r := reply{Holder: a.Holder, Number: a.Number}
		if err == nil {
			r.Text, err = json.Marshal(what)
		}
		if err != nil {
			r.Error, r.Kind = err.Error(), faultKind(err)
		}
		s.sink(nil, down{Replies: []reply{r}})
	}
	taken := func(e clusterconfig.Entry, err error) { say(e, err) }
	switch record := v.Record(); a.Call {
	case "members":
		say(s.status(), nil)
	case "history":
		n := min(int(min(a.Version, clusterconfig.MostTrail)), len(record.Trail))
		say(record.Trail[len(record.Trail)-n:], nil)
	case "diff":
		then, err := record.At(a.Version)
		var changes []Difference
		if err == nil {
			for _, c := range then.Back(record.Doc, "", "").Changes {
				changes = append(changes, Difference{c.Key, then.Values[c.Key], c.Value})
			}
		}
		say(changes, err)
	case "rollback":
		then, err := record.At(a.Version)
		if err != nil || a.Proposal == nil {
			say(nil, err)
			return
		}
		s.effect(v.Propose(now, record.Doc.Back(then, a.Proposal.Author, a.Proposal.Reason), taken))
	case "propose":
		if a.Proposal != nil {
			s.effect(v.Propose(now, *a.Proposal, taken))
		}
	}
}
