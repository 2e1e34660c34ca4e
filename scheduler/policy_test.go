package scheduler_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The files of this package hold the decisions (`policy` in deploy/balancer.toml). They are read aloud after outages,
// so their size is bounded: lines that are not
// blank, and characters with a tab as four. The operators have lifted the limit on the lines of the module as a
// whole, so their sum is not bounded.
const (
	maxLines = 240
	maxWidth = 110
)

func TestDecisionFilesStayShort(t *testing.T) {
	for _, path := range decisionFiles(t) {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for number, line := range strings.Split(string(data), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxWidth {
				t.Errorf("%s:%d is %d characters wide", path, number+1, width)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d lines that are not blank, at most %d", path, lines, maxLines)
		}
	}
}

// The deploy file names the files that hold the decisions; a file left out would be changed without being
// seen as policy.
func TestDeployFileNamesDecisionFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindStringSubmatch(string(deploy))
	if line == nil {
		t.Fatal("deploy/balancer.toml has no policy")
	}
	var want []string
	for _, path := range decisionFiles(t) {
		want = append(want, fmt.Sprintf("%q", "scheduler/"+path))
	}
	named := strings.Split(line[1], ", ")
	slices.Sort(named)
	if !slices.Equal(named, want) {
		t.Errorf("deploy/balancer.toml: policy = [%s], want [%s]", line[1], strings.Join(want, ", "))
	}
}

// decisionFiles is the files of the decision module, sorted.
func decisionFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}
