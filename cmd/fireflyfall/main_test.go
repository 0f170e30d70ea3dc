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

// TestScripts runs every script of testdata/script. Each finds in mesh the
// declarations of testdata/mesh, with the files of its own archive in their place.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: func(env *testscript.Env) error { return overlay(filepath.Join(env.WorkDir, "mesh")) },
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"status": status},
	})
}

// status runs a program and checks that it exits with exactly this status.
func status(ts *testscript.TestScript, neg bool, args []string) {
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

// overlay copies testdata/mesh to dir, but for files that are there already.
func overlay(dir string) error {
	mesh := os.DirFS("testdata/mesh")
	return fs.WalkDir(mesh, ".", func(name string, entry fs.DirEntry, err error) error {
		to := filepath.Join(dir, name)
		if _, missing := os.Lstat(to); err != nil || missing == nil {
			return err
		}
		if entry.IsDir() {
			return os.MkdirAll(to, 0o755)
		}
		content, err := fs.ReadFile(mesh, name)
		if err != nil {
			return err
		}
		return os.WriteFile(to, content, 0o644)
	})
}
