package ffroute

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind specifies which requests of a route may be retried.
type Kind int

// Kinds of route. The zero value is the most restrictive one.
const (
	KindUnsafe Kind = iota // unsafe
	KindSafe               // safe
	KindUpload             // upload
)

// Idempotent reports whether a request may be executed more than once.
func (k Kind) Idempotent() bool { return k == KindSafe }
