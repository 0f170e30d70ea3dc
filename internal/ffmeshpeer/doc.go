// Package ffmeshpeer forwards calls from the entry of one VM to the gate of another
// as HTTP requests. The request and the response each carry one additional header.
package ffmeshpeer
