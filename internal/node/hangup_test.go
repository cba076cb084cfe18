package node

import (
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

// hangupVariable makes TestHangupDuringTheStart run as the process that gets the signal.
const hangupVariable = "FIREFLYCLEAT_HANGUP"

// TestHangupDuringTheStart guards against a process that SIGHUP ends, because it does not expect the signal yet: the settings of a host may change
// while it starts.
func TestHangupDuringTheStart(t *testing.T) {
	if os.Getenv(hangupVariable) != "" {
		New(Settings{}, Platform{}, nil, telem.NewJSONLogs(io.Discard, "h")).WithSettingsFile("none")
		qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		return
	}
	c := exec.Command(os.Args[0], "-test.run", "^TestHangupDuringTheStart$")
	c.Env = append(os.Environ(), hangupVariable+"=1")
	output, err := c.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
}
