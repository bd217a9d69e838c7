package main

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// asProgram is the environment variable that makes the test binary run main, with
// the variable's value as the arguments.
const asProgram = "LOTUSLAB_AS_PROGRAM"

func TestMain(m *testing.M) {
	if args := os.Getenv(asProgram); args != "" {
		os.Args = append([]string{"lotuslab"}, strings.Fields(args)...)
		main()
		return
	}
	os.Exit(m.Run())
}

// Invalid usage, or a drill that cannot run, must not look like a fault that an
// audit found, nor like a drill that passed: it has its own exit code, and prints
// no result.
func TestInvalidUsageExitsWithNotRun(t *testing.T) {
	for _, args := range []string{
		"drill", "drill nothing", "drill edge --loss 2", "drill edge --sabotage other", "drill edge --seed x",
		"drill edge --devices 0",
		"drill edge --router /nowhere/lotusbend", "up --router /nowhere/lotusbend", "measure edge --requests 1",
		"drill edge --kill-router 50",
	} {
		program := exec.Command(os.Args[0])
		program.Env = append(os.Environ(), asProgram+"="+args)
		out, err := program.Output()
		var ended *exec.ExitError
		if !errors.As(err, &ended) || ended.ExitCode() != exitNotRun || strings.Contains(string(out), "{") {
			t.Errorf("lotuslab %s: got %v with output %q, want exit code %d and no result", args, err, out, exitNotRun)
		}
	}
}
