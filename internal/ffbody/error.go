package ffbody

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	KindOpened   Kind = iota // opened
	KindNotBegun             // notBegun
)

// Error is an error of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Err is the cause; nil if the kind tells it.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	text := "ffbody: " + e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
