package ffroute

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind tells what may be repeated on a route.
type Kind int

// Kinds of route. The zero value is the strictest one.
const (
	KindUnsafe Kind = iota // unsafe
	KindSafe               // safe
	KindUpload             // upload
)

// Idempotent reports whether a request may run more than once.
func (k Kind) Idempotent() bool { return k == KindSafe }
