package agreement

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/consensus"
	"junctionwharf/internal/golden"
)

// answers holds the texts that scripts and operators read, by name: the console's JSON and the texts of errors.
type answers map[string]string

func (a answers) addJSON(t *testing.T, name string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	a[name] = string(text)
}

func (a answers) addError(name string, err error) { a[name] = fmt.Sprint(err) }

// faultyCalls are commands that are rejected before they are sent to a leader.
var faultyCalls = []string{
	"", "unknown", "rollback 1 ana", "rollback x ana why", "history x", "history 99999999999", "diff x", "diff -1",
	"propose", "propose {", "propose 5", "propose [1]", `propose "a"`,
	`propose {"expected":"1"}`, `propose {"expected":-1}`, `propose {"expected":1.5}`,
	`propose {"author":5}`, `propose {"reason":[]}`, `propose {"author":"a"`,
	`propose {"changes":5}`, `propose {"changes":{}}`, `propose {"changes":[5]}`, `propose {"changes":["a"]}`,
	`propose {"changes":[{"key":5}]}`, `propose {"changes":[{"value":true}]}`, `propose {"changes":[{"key":{}}]}`,
}

// goldenState returns a state in which the first version is active and the second is pending.
func goldenState(t *testing.T) *clusterconfig.State {
	t.Helper()
	document, next := goldenDocument()
	state := clusterconfig.NewState(5, nil)
	for _, c := range []clusterconfig.Command{{Begin: &document.LastEntry}, {Activate: 1}, {Begin: &next}} {
		if err := state.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	return state
}

// collectAnswers returns all answers of the current code.
func collectAnswers(t *testing.T) answers {
	t.Helper()
	document, next := goldenDocument()
	state := goldenState(t)
	a := answers{}
	a.addJSON(t, "export", document)
	a.addJSON(t, "export empty", &clusterconfig.Document{})
	a.addJSON(t, "history", []clusterconfig.Entry{document.LastEntry, next})
	a.addStatus(t)
	a["failure"] = strings.TrimSpace(string(failure(kindInvalid, "a \"fault\"")))
	s := &Service{}
	for _, call := range faultyCalls {
		a["call "+call] = strings.TrimSpace(string(s.HandleCommand(call)))
	}
	a.addProposalFaults(state.Document)
	a.addCommandErrors(state, document, next)
	a.addHistoryErrors(state, goldenState(t))
	a.addLessorErrors(state, next)
	return a
}

func (a answers) addStatus(t *testing.T) {
	t.Helper()
	a.addJSON(t, "diff", []Difference{{Key: "k", Old: "a", New: "b"}})
	a.addJSON(t, "status follower", Status{Name: "a", Role: "follower"})
	a.addJSON(t, "status", Status{
		Name:           "a",
		Role:           "leader",
		Epoch:          5,
		Version:        1,
		PendingVersion: 2,
		Restricted:     true,
		RestrictedMS:   3,
		LeaseLeftMS:    4,
		Parent:         "p",
		Path:           []string{"v0", "p"},
		Children:       []string{"c"},
		Voters:         map[string]string{"v0": "self", "v1": "connected"},
		Leader:         "v0",
		Term:           6,
		Fault:          "f",
		WaitingFor:     []string{"w"},
		Lagging:        map[string]uint64{"b": 1},
	})
}

func (a answers) addProposalFaults(document *clusterconfig.Document) {
	validate := func(name string, p clusterconfig.Proposal) {
		err := document.Validate(newSchema(testLimitFloors), p)
		a[name] = strings.ReplaceAll(err.Error(), "\n", " | ")
	}
	validate("faults empty", clusterconfig.Proposal{})
	validate("faults", clusterconfig.Proposal{Expected: 3, Changes: []clusterconfig.Change{
		{Key: "plan.free.limit", Value: "9"},
		{Key: "plan.gold.limit", Value: "9"},
		{Key: "plan.gold.limit", Value: "x"},
		{Key: "class..repeat", Value: "yes"},
		{Key: "node.n.drain", Value: "maybe"},
	}})
}

func (a answers) addCommandErrors(state *clusterconfig.State, document *clusterconfig.Document,
	next clusterconfig.Entry,
) {
	for name, c := range map[string]clusterconfig.Command{
		"begin again":      {Begin: &next},
		"activate another": {Activate: 9},
		"adopt":            {Adopt: document},
		"empty":            {},
	} {
		a.addError("command "+name, state.Apply(c))
	}
	altered, forked := next, next
	altered.Hash = "x"
	forked.PreviousHash = "y"
	for name, e := range map[string]clusterconfig.Entry{
		"altered":            altered,
		"of another history": forked,
		"too early":          document.LastEntry,
	} {
		a.addError("entry "+name, clusterconfig.NewState(5, nil).Apply(clusterconfig.Command{Begin: &e}))
		a.addError("entry "+name+" behind the first", document.Clone().Apply(e))
	}
}

func (a answers) addHistoryErrors(state, truncated *clusterconfig.State) {
	_, err := state.DocumentAt(2)
	a.addError("version 2", err)
	truncated.Document.Version = 9
	truncated.History[0].Version = 9
	_, err = truncated.DocumentAt(3)
	a.addError("version too old", err)
	_, err = truncated.DocumentAt(8)
	// The error names either of two keys.
	a["value too old"] = strings.Replace(err.Error(), "plan.gold.limit", "class.read.repeat", 1)
	a.addError("altered trail", truncated.VerifyHistory())
}

func (a answers) addLessorErrors(state *clusterconfig.State, next clusterconfig.Entry) {
	for _, err := range []error{
		clusterconfig.ErrVersionConflict,
		clusterconfig.ErrChangePending,
		clusterconfig.ErrNotLeader,
		consensus.ErrOutcomeUnknown,
	} {
		a["kind of "+err.Error()] = string(kindOf(fmt.Errorf("x: %w", err)))
	}
	schema := newSchema(testLimitFloors)
	l := clusterconfig.NewLessor(0, 1, clusterconfig.DefaultTiming, schema, state.Document, state.Pending, 0)
	_, err := l.Propose(0, clusterconfig.Proposal{})
	a.addError("proposal to a leader that is not sure", err)
	l.ConfirmLeadership(1 << 40)
	_, err = l.Propose(0, clusterconfig.Proposal{})
	a.addError("proposal beside another", err)
	a.addError("begun beside another", l.Begin(next))
}

// An operator's scripts read the console's answers, and an engineer searches for the texts of errors. All must stay as
// they are, whatever the types are called that they come from.
func TestGoldenAnswers(t *testing.T) {
	got := collectAnswers(t)
	if golden.Recording() {
		writeGolden(t, goldenAnswers, got)
	}
	recorded := readGolden(t, goldenAnswers)
	if len(recorded) != len(got) {
		t.Errorf("%d recorded answers, want %d", len(recorded), len(got))
	}
	for name, want := range recorded {
		if got[name] != want {
			t.Errorf("%s:\n%s, want\n%s", name, got[name], want)
		}
	}
}
