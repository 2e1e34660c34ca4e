package review

import (
	"os"
	"os/exec"
	"testing"
)

// runSecondCase builds the stand-ins of the second review and runs the script of one of its cases. It needs the programs
// in bin, built as the deploy file says.
func runSecondCase(t *testing.T, number string) {
	t.Helper()
	if os.Getenv("REVIEW") != "1" {
		t.Skip("runs only with REVIEW=1 in the environment")
	}
	for _, script := range []string{"./build-2.sh", "./" + number + "/run.sh"} {
		output, err := exec.Command(script).CombinedOutput()
		t.Logf("%s\n%s", script, output)
		if err != nil {
			t.Fatalf("%s: %v", script, err)
		}
	}
}

// A configuration file whose settings are empty must not end a running broker.
func TestReviewEmptySettings(t *testing.T) { runSecondCase(t, "6") }

// New settings without a key that may be absent must be taken, so that an unsafe request does not run twice.
func TestReviewOptionalKey(t *testing.T) { runSecondCase(t, "7") }

// Commands under way must get their answers when a class vanishes from the settings.
func TestReviewVanishedClass(t *testing.T) { runSecondCase(t, "8") }

// A planned restart must not cut off values that clients are still reading.
func TestReviewSlowReadersAtRestart(t *testing.T) { runSecondCase(t, "9") }

// No attempt may begin long after its client has gone, whatever the client sent before.
func TestReviewSentAndGone(t *testing.T) { runSecondCase(t, "10") }
