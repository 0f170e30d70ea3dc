// Package ffgossip distributes the content of the platform's store: a few daemons
// read it, heartbeats between daemons carry the revision and its age, and a daemon
// that is behind pulls the content from one that is not.
package ffgossip
