// Package ffbudget decides how many retries one entry may make, so that all entries of a
// fleet together stay within its retry budget: while a service fails, when entries start
// again or lose sight of others, and when retried runs call other services.
package ffbudget
