// Package ffretry decides, for the daemon that accepted a call, whether to retry
// a failed attempt, to ask for its outcome or to give up, and when to hedge a
// short call. The budgets for retries and hedges come from the customer's contract.
package ffretry
