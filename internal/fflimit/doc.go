// Package fflimit holds every customer to the rate and concurrency of its
// contract over all daemons. Each daemon admits from a static part and from
// grants that expire; an allocator for each customer and cell of the fleet
// hands them out by demand, and cells trade what they do not use.
package fflimit
