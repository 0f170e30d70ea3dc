// Package ffmeshpeer carries calls from the entry of one VM to the gate of
// another, as HTTP requests with one header of its own each way.
package ffmeshpeer
