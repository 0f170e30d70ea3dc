// Package ffdeclaration reads the declarations of a mesh (contracts, services and
// routes in YAML), reports every fault with its file, line and field, and builds,
// compares and explains versions of the configuration.
package ffdeclaration
