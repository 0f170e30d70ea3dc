package ffconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// digestShortLength is the number of digits of a digest that logs show.
const digestShortLength = 12

// hexDigits are the valid digits of a digest. Upper case is invalid, so that each
// digest has a single spelling.
const hexDigits = "0123456789abcdef"

// Digest is the SHA-256 hash of some content, in lower-case hexadecimal.
type Digest string

// DigestOf returns the digest of content.
func DigestOf(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(hex.EncodeToString(sum[:]))
}

// Valid reports whether d has the form of a digest.
func (d Digest) Valid() bool {
	return len(d) == hex.EncodedLen(sha256.Size) && strings.Trim(string(d), hexDigits) == ""
}

// Short returns the first digits of d, for logs.
func (d Digest) Short() string {
	return string(d[:min(len(d), digestShortLength)])
}
