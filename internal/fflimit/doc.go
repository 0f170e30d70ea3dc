// Package fflimit enforces the rate and concurrency of every customer's contract
// across all daemons. Each daemon admits calls from a static quota and from grants
// that expire. An allocator for each customer and cell of the fleet makes the grants
// by demand, and cells lend each other what they do not use.
package fflimit
