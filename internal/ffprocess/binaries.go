package ffprocess

import (
	"context"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/ansel1/merry/v2"
)

// commandPath is the import path prefix of the module's programs.
const commandPath = "fireflyfall.dev/fireflyfall/cmd/"

// Binaries builds programs of this module, each at most once.
type Binaries struct {
	// Directory is the directory that the binaries are written to.
	Directory string

	mu    sync.Mutex
	built map[string]bool
}

// Path builds a program such as fireflystand if needed and returns the path of its binary.
func (b *Binaries) Path(ctx context.Context, program string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	path := filepath.Join(b.Directory, program)
	if b.built[path] {
		return path, nil
	}
	output, err := exec.CommandContext(ctx, "go", "build", "-o", path, commandPath+program).CombinedOutput()
	if err != nil {
		return "", &Error{Op: "build", Kind: KindBuild, Process: program, Err: merry.Appendf(err, "%s", output)}
	}
	if b.built == nil {
		b.built = make(map[string]bool)
	}
	b.built[path] = true
	return path, nil
}
