package scenario_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/apricotgrade/apricotgrade/pkg/scenario"
)

// TestScenarios guards against faults that violate an invariant, and against scripts
// that prove nothing. It runs each script under test/scenario unchanged, and those with
// a proves command again with the named mechanism switched off: the script must then
// violate its invariant.
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
