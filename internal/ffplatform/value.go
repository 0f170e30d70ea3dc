package ffplatform

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// MaxValueBytes is the maximum size of a value, in bytes.
const MaxValueBytes = 1 << 20

// Keys of the values that daemons read.
const (
	// ManifestKey is the key of the manifest of the newest version.
	ManifestKey = "manifest"
	// piecePrefix is the prefix of the key of a piece, followed by its digest.
	piecePrefix = "pieces/"
)

// Value is a value of the platform at one revision.
type Value struct {
	// Revision identifies the content; a watch without a change returns the
	// revision that it was given, without content.
	Revision uint64
	Content  []byte
}

// PieceKey returns the key of the piece with the given digest.
func PieceKey(digest ffconfig.Digest) string { return piecePrefix + string(digest) }

// checkContent returns an error if key is that of a piece and content does not
// have its digest.
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
