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

// The files of this package make the decisions (`policy` in deploy/balancer.toml). Engineers read them aloud after
// outages, so the size of each file is limited: the number of non-blank lines, and the width of a line with a tab as
// four characters. The total number of lines is not limited, because the operators lifted the limit on the lines of
// the module.
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
				t.Errorf("%s:%d is %d characters wide, want at most %d", path, number+1, width, maxWidth)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d non-blank lines, want at most %d", path, lines, maxLines)
		}
	}
}

// The deploy file must name all files that hold decisions. Otherwise a change of a missing file would not be
// recognized as a change of policy.
func TestDeployFileNamesDecisionFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindStringSubmatch(string(deploy))
	if line == nil {
		t.Fatal("deploy/balancer.toml does not set policy to a list")
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

// decisionFiles returns the files of this package without tests, sorted.
func decisionFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}
