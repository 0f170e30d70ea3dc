package fflimit

//go:generate stringer -type=Shortage -linecomment -output=shortage_string.go

// Shortage identifies the limit of the contract for which a call is refused.
type Shortage int

// Limits for which a call is refused.
const (
	ShortageNone        Shortage = iota // none
	ShortageRate                        // rate
	ShortageConcurrency                 // concurrency
)
