package ffconfig

import (
	"crypto/sha256"
	"encoding/hex"
)

// digestShortLength is the number of hexadecimal digits that logs show of a digest.
const digestShortLength = 12

// Digest is the SHA-256 hash of some content, in hexadecimal.
type Digest string

// DigestOf returns the digest of content.
func DigestOf(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(hex.EncodeToString(sum[:]))
}

// Valid reports whether d has the form of a digest.
func (d Digest) Valid() bool {
	b, err := hex.DecodeString(string(d))
	return err == nil && len(b) == sha256.Size
}

// Short returns the first digits of d, for logs.
func (d Digest) Short() string {
	return string(d[:min(len(d), digestShortLength)])
}
