package ffbody

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	KindOpened Kind = iota // opened
)

// Error is an error of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
}

// Error implements error.
func (e *Error) Error() string { return "ffbody: " + e.Op + ": " + e.Kind.String() }
