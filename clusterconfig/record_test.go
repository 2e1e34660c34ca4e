package clusterconfig

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

func anyRules(key string) (Rule, bool) { return testRules(key[:len(key)-1]) }

// drawProposal draws a change of up to four keys of every rule, some of them taken away.
func drawProposal(t *rapid.T, expected uint64) Proposal {
	p := Proposal{Expected: expected, Author: "a", Reason: "r"}
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"limit1", "limit2", "repeat1", "repeat2", "zone1", "zone2"}), 1, 4, rapid.ID[string]).Draw(t, "keys") {
		value := ""
		if rapid.IntRange(0, 3).Draw(t, "gone") > 0 {
			switch key[0] {
			case 'l':
				value = fmt.Sprint(rapid.IntRange(1, 50).Draw(t, "limit"))
			case 'r':
				value = rapid.SampledFrom([]string{"yes", "no"}).Draw(t, "repeat")
			default:
				value = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			}
		}
		p.Changes = append(p.Changes, Change{key, value})
	}
	return p
}

// A record under any commands: what does not fit is refused and changes nothing; every version that the trail reaches is found again as it
// was; a rollback brings its values as a new version; the chain holds, and does not once an entry is altered.
func TestRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecord(1, nil)
		versions := []map[string]string{{}}
		for range rapid.IntRange(1, 12).Draw(t, "commands") {
			before, pending := maps.Clone(r.Doc.Values), r.Pending
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0: // what does not fit
				e := r.Doc.Next(drawProposal(t, r.Doc.Version))
				e.Version += uint64(rapid.IntRange(1, 2).Draw(t, "off"))
				if r.Apply(Command{Begin: &e}) == nil || r.Apply(Command{Activate: r.Doc.Version + 5}) == nil || r.Apply(Command{}) == nil {
					t.Fatal("it was taken")
				}
				if !maps.Equal(before, r.Doc.Values) || r.Pending != pending {
					t.Fatal("a refused command changed something")
				}
			case 1:
				if then := rapid.IntRange(0, len(versions)-1).Draw(t, "to"); r.Pending == nil {
					doc, err := r.At(uint64(then))
					if err != nil {
						t.Fatal(err)
					}
					p := r.Doc.Back(doc, "a", "back")
					if len(p.Changes) == 0 {
						continue
					}
					if err := r.Doc.Check(anyRules, p); err != nil {
						t.Fatal(err)
					}
					e := r.Doc.Next(p)
					if err := r.Apply(Command{Begin: &e}); err != nil {
						t.Fatal(err)
					}
					if err := r.Apply(Command{Activate: e.Version}); err != nil {
						t.Fatal(err)
					}
					if !maps.Equal(r.Doc.Values, versions[then]) {
						t.Fatalf("rolled back to %d: %v, want %v", then, r.Doc.Values, versions[then])
					}
					versions = append(versions, maps.Clone(r.Doc.Values))
				}
			default:
				p := drawProposal(t, r.Doc.Version)
				if err := r.Doc.Check(anyRules, p); err != nil {
					t.Fatal(err)
				}
				e := r.Doc.Next(p)
				if err := r.Apply(Command{Begin: &e}); (err == nil) != (pending == nil) {
					t.Fatalf("begun with %v under way: %v", pending, err)
				}
				if rapid.Bool().Draw(t, "activate") {
					if err := r.Apply(Command{Activate: r.Doc.Version + 1}); err != nil {
						t.Fatal(err)
					}
					versions = append(versions, maps.Clone(r.Doc.Values))
				}
			}
		}
		for v, want := range versions {
			if doc, err := r.At(uint64(v)); err != nil || !maps.Equal(doc.Values, want) {
				t.Fatalf("version %d: %v, want %v, %v", v, doc, want, err)
			}
		}
		if err := r.Verify(); err != nil {
			t.Fatal(err)
		}
		if len(r.Trail) > 0 {
			at := rapid.IntRange(0, len(r.Trail)-1).Draw(t, "altered")
			r.Trail[at].Proposal.Reason = "another"
			if r.Verify() == nil {
				t.Fatal("an altered trail holds")
			}
		}
	})
}

// Of any two values the meet is below both, whichever comes first; and every floor is below every value.
func TestMeets(t *testing.T) {
	values := map[string]*rapid.Generator[string]{"limit": rapid.Map(rapid.IntRange(1, 99), func(n int) string { return fmt.Sprint(n) }), "repeat": rapid.SampledFrom([]string{"yes", "no"}),
		"zone": rapid.SampledFrom([]string{"a", "b", "c"})}
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"limit", "repeat", "zone"}).Draw(t, "rule")
		rule, _ := testRules(name)
		a, b := values[name].Draw(t, "a"), values[name].Draw(t, "b")
		meet := rule.Meet(a, b)
		if !Below(rule, meet, a) || !Below(rule, meet, b) || meet != rule.Meet(b, a) || !Below(rule, rule.Floor(), a) || rule.Check(a) != nil {
			t.Fatalf("%q and %q meet in %q", a, b, meet)
		}
	})
}

// A trail that is cut says what it no longer knows, and nothing wrong.
func TestCutTrail(t *testing.T) {
	r := NewRecord(1, nil)
	for i := range MostTrail + 10 {
		p := Proposal{Expected: r.Doc.Version, Author: "a", Reason: "r", Changes: []Change{{fmt.Sprint("limit", i%7), fmt.Sprint(i + 1)}}}
		if i == 0 {
			p.Changes = []Change{{"zone1", "a"}}
		}
		e := r.Doc.Next(p)
		if err := r.Apply(Command{Begin: &e}); err != nil {
			t.Fatal(err)
		}
		if err := r.Apply(Command{Activate: e.Version}); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.Trail) != MostTrail || r.Verify() != nil {
		t.Errorf("%d entries, %v", len(r.Trail), r.Verify())
	}
	if _, err := r.At(3); err == nil {
		t.Error("a version before the trail was found")
	}
	doc, err := r.At(MostTrail)
	if err != nil || doc.Values["zone1"] != "a" || doc.Values["limit6"] != "994" {
		t.Errorf("%v, %v", doc, err)
	}
	if _, err := r.At(r.Doc.Version + 1); err == nil {
		t.Error("a version to come was found")
	}
}
