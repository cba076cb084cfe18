package cmds

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/setup"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// TestExamples guards against example files that the commands reject.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"wijesinghe", "cymdeithas"} {
		t.Run(deployment, func(t *testing.T) {
			c := qt.New(t)
			dir := filepath.Join("..", "..", "examples", deployment)
			_, problems := setup.Read(filepath.Join(dir, "host.toml"))
			c.Check(problems, qt.HasLen, 0)
			var template spec.Template
			c.Check(readTOML(filepath.Join(dir, "template.toml"), &template), qt.IsNil)
			c.Check(template.Check(), qt.IsNil)
			team, err := readTeam(filepath.Join(dir, "team.toml"))
			c.Check(err, qt.IsNil)
			c.Check(team.Check(), qt.IsNil)
		})
	}
}
