// Package ffdistribution brings each accepted version into force in every
// daemon and never takes an older one back: readers watch the platform, versions
// spread down a tree and by anti-entropy, and a daemon learns the greatest
// version it can before it is ready.
//
// To assemble: a Store and a Members; a Budget, given to the platform's client as
// its limiter; a Node with these, an ffplatform.Client and an ffpeer.Client.
// Register the Node at the ffpeer.Server as the configuration service, serve,
// and call Node.Run. Calls are taken only while Node.Ready; Store.Snapshot is the
// version in force. Node.Leave announces that the VM leaves, Node.Gone that it has.
package ffdistribution
