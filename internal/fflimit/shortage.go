package fflimit

//go:generate stringer -type=Shortage -linecomment -output=shortage_string.go

// Shortage tells which limit of the contract refuses a call.
type Shortage int

// Limits that refuse a call.
const (
	ShortageNone        Shortage = iota // none
	ShortageRate                        // rate
	ShortageConcurrency                 // concurrency
)
