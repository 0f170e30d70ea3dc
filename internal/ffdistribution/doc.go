// Package ffdistribution distributes configuration versions to every daemon. A
// daemon never reverts to an older version. A few reader daemons in each data
// centre watch the platform; versions spread down a tree of daemons and by
// anti-entropy exchanges with random peers. At start-up a daemon fetches the newest
// version that the platform or a peer reports before it is ready.
//
// To set it up, create a Store, a Members, a Budget that is also the limiter of the
// platform's client, and a Node with these, an ffplatform.Client and an
// ffpeer.Client. Register the Node with the ffpeer.Server as the configuration
// service, start the server and call Node.Run. Accept calls only while Node.Ready
// returns true. Store.Snapshot returns the active version. The Node also announces to
// the other daemons that the VM is leaving and that it is gone.
package ffdistribution
