package review

import (
	"os"
	"os/exec"
	"testing"
)

// runCase builds the stand-ins and runs the script of a case. It needs the programs in bin, built as the deploy file says.
func runCase(t *testing.T, number string) {
	t.Helper()
	if os.Getenv("REVIEW") == "" {
		t.Skip("runs only with REVIEW=1 in the environment")
	}
	for _, script := range []string{"./build.sh", "./" + number + "/run.sh"} {
		output, err := exec.Command(script).CombinedOutput()
		t.Logf("%s\n%s", script, output)
		if err != nil {
			t.Fatalf("%s: %v", script, err)
		}
	}
}

// A second answer that comes some milliseconds late must not be served to another request.
func TestReviewSecondAnswers(t *testing.T) { runCase(t, "1") }

// Clients that send hundreds of commands at once must not take a broker over its memory limit.
func TestReviewManyCommands(t *testing.T) { runCase(t, "2") }

// While nodes hang, requests to other nodes must get their final answers in time.
func TestReviewPipelines(t *testing.T) { runCase(t, "3") }
