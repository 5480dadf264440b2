package scenario_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/apricotgrade/apricotgrade/pkg/scenario"
)

// TestScenarios runs every script under test/scenario: first as it stands, and
// then, where it names a mechanism, with that mechanism switched off, when the
// invariant must be breached. A script that passes both ways would prove
// nothing.
func TestScenarios(t *testing.T) {
	t.Run("on", func(t *testing.T) { runScripts(t, false) })
	t.Run("off", func(t *testing.T) { runScripts(t, true) })
}

func runScripts(t *testing.T, mechanismOff bool) {
	t.Helper()
	testscript.Run(t, testscript.Params{
		Dir:  "../../test/scenario",
		Cmds: scenario.Commands(),
		Setup: func(env *testscript.Env) error {
			s := &scenario.Script{MechanismOff: mechanismOff}
			env.Values["script"] = s
			env.Defer(func() {
				writeTrace(env, s)
				if mechanismOff && !s.HasMechanism() {
					return
				}
				if err := s.Finish(); err != nil {
					env.T().Log(err)
					env.T().FailNow()
				}
			})
			return nil
		},
	})
}

// writeTrace writes the trace of a script into the directory that the
// environment variable TRACES names.
func writeTrace(env *testscript.Env, s *scenario.Script) {
	dir := os.Getenv("TRACES")
	if dir == "" || s.Simulation == nil {
		return
	}
	name := filepath.Base(env.WorkDir)
	if s.MechanismOff {
		name += "-off"
	}
	_ = os.WriteFile(filepath.Join(dir, name+".txt"), []byte(strings.Join(s.Simulation.Trace, "\n")), 0o600)
}
