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

// faultyCalls are commands that a broker rejects without asking the leader.
var faultyCalls = []string{
	"", "unknown", "rollback 1 ana", "rollback x ana why", "history x", "history 99999999999", "diff x", "diff -1",
	"propose", "propose {", "propose 5", "propose [1]", `propose "a"`,
	`propose {"expected":"1"}`, `propose {"expected":-1}`, `propose {"expected":1.5}`,
	`propose {"author":5}`, `propose {"reason":[]}`, `propose {"author":"a"`,
	`propose {"changes":5}`, `propose {"changes":{}}`, `propose {"changes":[5]}`, `propose {"changes":["a"]}`,
	`propose {"changes":[{"key":5}]}`, `propose {"changes":[{"value":true}]}`, `propose {"changes":[{"key":{}}]}`,
}

// goldenState returns a state in which the first version is active and the second one is pending.
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
	// The value of either of two keys is too old, and the error names the one that is found first.
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

// rewordedTexts maps recorded texts to the current texts of errors that were reworded after the recording. Scripts act
// on the kind of an error and not on its text. A new recording must empty this table.
var rewordedTexts = [][2]string{
	{"version 9 was altered", "entry does not match its hash: version 9"},
	{"version 2 was altered", "entry does not match its hash: version 2"},
	{"version 2 does not follow 1", "entry is out of sequence: version 2 after version 1"},
	{"version 2 does not follow 0", "entry is out of sequence: version 2 after version 0"},
	{"version 1 does not follow 1", "entry is out of sequence: version 1 after version 1"},
	{
		"version 2 builds on another history",
		`entry belongs to another history: version 2 has previous hash "y", ` +
			`want "1256683c97338a54f0f99f70e64e10f2673f462549c45f3a29ec193ef51bdc1c"`,
	},
	{"version 9 is not under way", "change is not pending: version 9"},
	{"there is a document", "cannot adopt a document: the epoch already has a version or a pending change"},
	{"an empty command", "command is empty"},
	{
		"expected: another version is in force: 1, not 3",
		"expected: proposal is not based on the active version: got 3, want 1",
	},
	{
		"expected: another version is in force: 1, not 0",
		"expected: proposal is not based on the active version: got 0, want 1",
	},
	{"another version is in force", "proposal is not based on the active version"},
	{"another change is under way", "another change is pending"},
	{"this member does not lead", "this voter cannot act as leader"},
	{"author: missing", "author: value is missing"},
	{"reason: missing", "reason: value is missing"},
	{"changes: none", "changes: proposal contains no changes"},
	{
		"9 is below 100, on which brokers act that do not know better",
		"limit is below the value that brokers use without a lease: got 9, want at least 100",
	},
	{"plan.gold.limit: stands twice", "plan.gold.limit: duplicate key"},
	{`"x" is no number`, `limit is not a number: "x"`},
	{`"maybe" is neither yes nor no`, `value is neither yes nor no: "maybe"`},
	{
		"the leader was lost: whether the change came into force is not known",
		"leadership was lost: the change may or may not become active",
	},
	{
		"class.read.repeat: its value at version 8 was set before what is kept",
		"class.read.repeat: the value at version 8 was set before the kept history begins",
	},
	{"version 2 is not in force yet", "version is not active yet: got 2, active version is 1"},
	{"version 3 is older than what is kept", "version 3 is older than the kept history"},
	{"rollback wants VERSION AUTHOR REASON", "rollback: want VERSION AUTHOR REASON"},
	{`unknown call \"\": status`, `unknown command \"\", want one of: status`},
	{`unknown call \"unknown\": status`, `unknown command \"unknown\", want one of: status`},
}

// readAnswers returns the recorded answers with the texts of rewordedTexts replaced, in names and in values. Each row
// of the table must be found in the recording. At each position, the first row that matches applies.
func readAnswers(t *testing.T) answers {
	t.Helper()
	recorded := readGolden(t, goldenAnswers)
	var pairs []string
	for _, row := range rewordedTexts {
		found := false
		for name, value := range recorded {
			found = found || strings.Contains(name, row[0]) || strings.Contains(value, row[0])
		}
		if !found {
			t.Errorf("%s does not contain %q of rewordedTexts", goldenAnswers, row[0])
		}
		pairs = append(pairs, row[:]...)
	}
	replacer := strings.NewReplacer(pairs...)
	reworded := answers{}
	for name, value := range recorded {
		reworded[replacer.Replace(name)] = replacer.Replace(value)
	}
	return reworded
}

// Operators' scripts read the console's answers, and engineers search for the texts of errors. A renamed type must not
// change either of them.
func TestGoldenAnswers(t *testing.T) {
	got := collectAnswers(t)
	if golden.Recording() {
		writeGolden(t, goldenAnswers, got)
	}
	recorded := readAnswers(t)
	if len(recorded) != len(got) {
		t.Errorf("%d recorded answers, want %d", len(recorded), len(got))
	}
	for name, want := range recorded {
		if got[name] != want {
			t.Errorf("answer %q:\n%s\nwant\n%s", name, got[name], want)
		}
	}
}
