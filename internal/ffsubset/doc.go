// Package ffsubset picks the targets of a service that an entry uses. It is for hundreds
// of entries and targets: each entry keeps few connections and hears often of the
// targets that it uses, and all targets are used by equally many entries.
package ffsubset
