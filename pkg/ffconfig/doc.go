// Package ffconfig defines the configuration of a mesh: contracts, services and
// routes, the pieces and manifests that carry them, the total order of versions,
// and the immutable snapshot that calls are served from.
package ffconfig
