package main

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"fireflyfall": main})
}

// TestScripts runs every script in testdata/script. The directory mesh of a script holds
// the declarations of testdata/mesh, overridden by files of the script's own archive.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: func(env *testscript.Env) error { return copyMissing(filepath.Join(env.WorkDir, "mesh")) },
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"status": runWithStatus},
	})
}

// runWithStatus implements the script command status: it runs a program and fails the
// script unless the program exits with the given status.
func runWithStatus(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: status N program [args...]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	var exit *exec.ExitError
	err = ts.Exec(args[1], args[2:]...)
	if err != nil && !errors.As(err, &exit) {
		ts.Fatalf("%v", err)
	}
	got := 0
	if exit != nil {
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit status %d, want %d", got, want)
	}
}

// copyMissing copies testdata/mesh to dir, skipping files that already exist there.
func copyMissing(dir string) error {
	mesh := os.DirFS("testdata/mesh")
	return fs.WalkDir(mesh, ".", func(name string, entry fs.DirEntry, err error) error {
		destination := filepath.Join(dir, name)
		if _, statErr := os.Lstat(destination); err != nil || statErr == nil {
			return err
		}
		if entry.IsDir() {
			return os.MkdirAll(destination, 0o755)
		}
		content, err := fs.ReadFile(mesh, name)
		if err != nil {
			return err
		}
		return os.WriteFile(destination, content, 0o644)
	})
}
