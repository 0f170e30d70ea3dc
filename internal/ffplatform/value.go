package ffplatform

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// MaxValueBytes bounds one value of the platform, in bytes.
const MaxValueBytes = 1 << 20

// Names of the values that daemons read.
const (
	// ManifestKey names the manifest of the newest version.
	ManifestKey = "manifest"
	// piecePrefix comes before the digest in the key of a piece.
	piecePrefix = "pieces/"
)

// Value is a value of the platform at one revision.
type Value struct {
	// Revision identifies the content; a watch that saw no change returns the
	// revision that it was given, without content.
	Revision uint64
	Content  []byte
}

// PieceKey returns the key of the piece with the given digest.
func PieceKey(digest ffconfig.Digest) string { return piecePrefix + string(digest) }

// checkContent returns an error when key names a digest that content does not have.
func checkContent(key string, content []byte) error {
	digest, ok := strings.CutPrefix(key, piecePrefix)
	if !ok {
		return nil
	}
	if got := ffconfig.DigestOf(content); got != ffconfig.Digest(digest) {
		return merry.Errorf("content has digest %s", got.Short())
	}
	return nil
}
