package ffcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxKeyBytes is the maximum length of a customer's key, in bytes.
const maxKeyBytes = 4096

// KeyHash prints the SHA-256 digest of a customer's key.
type KeyHash struct {
	// In is the source of the key; nil means standard input.
	In io.Reader `arg:"-"`
}

// Run reads the key, without trailing line breaks, and prints its digest.
func (k *KeyHash) Run(_ context.Context, stdout, _ io.Writer) error {
	in := k.In
	if in == nil {
		in = os.Stdin
	}
	content, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+1))
	if err != nil {
		return &Error{Op: "keyhash", Kind: KindFailed, Err: merry.Wrap(err)}
	}
	key := strings.TrimRight(string(content), "\r\n")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return &Error{Op: "keyhash", Kind: KindFault, Err: merry.Errorf("not a key: allowed are 1 to %d bytes without white space", maxKeyBytes)}
	}
	_, err = fmt.Fprintln(stdout, ffconfig.DigestOf([]byte(key)))
	return err
}
