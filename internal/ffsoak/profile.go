package ffsoak

import (
	"embed"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

//go:embed profiles/*.json
var profiles embed.FS

// profile describes the calls and changes of a soak of a deployment.
type profile struct {
	// LongService names the service that runs long work.
	LongService string `json:"longService"`
	// Work maps path prefixes to service times.
	Work map[string]string `json:"work"`
	// Amend names a line of a contract, to which each version adds a decimal part.
	Amend amendment `json:"amend"`
	// Moving is the route that versions add, move between services and remove.
	Moving  moving   `json:"moving"`
	Streams []stream `json:"streams"`
	// Twins is the stream whose calls go through two daemons concurrently with one token.
	Twins stream `json:"twins"`
}

// amendment names a line of a contract that ends in a whole number.
type amendment struct {
	Customer string `json:"customer"`
	Field    string `json:"field"`
}

// moving is a route with the services that can serve it.
type moving struct {
	Customer string      `json:"customer"`
	Homes    []placement `json:"homes"`
}

// placement is a service with one of its resources.
type placement struct {
	Service  string `json:"service"`
	Resource string `json:"resource"`
}

// stream is an open-loop flow of calls.
type stream struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// Rate is the number of calls a second over all daemons.
	Rate          float64 `json:"rate"`
	Idempotent    bool    `json:"idempotent"`
	TimeoutMillis int64   `json:"timeoutMillis"`
	// Once names the route if calls are sent with tokens.
	Once string `json:"once"`
	// Crash asks the target to cut the connection in the middle of each answer.
	Crash bool `json:"crash"`
}

func readProfile(deployment string) (profile, error) {
	var p profile
	content, err := profiles.ReadFile("profiles/" + deployment + ".json")
	if err != nil {
		return p, &Error{Op: "read profile", Kind: ErrorUsage, Err: merry.Errorf("deployment %q is unknown, allowed are sicily and ulaanbaatar", deployment)}
	}
	if err := json.Unmarshal(content, &p); err != nil {
		return p, &Error{Op: "read profile", Kind: ErrorFile, Err: err}
	}
	return p, nil
}
