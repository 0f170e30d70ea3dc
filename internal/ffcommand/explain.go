package ffcommand

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"

	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// Explain prints the limits, shares, routes and allowances that result from the contract
// of one customer.
type Explain struct {
	Dir      string `arg:"positional,required" placeholder:"DIR" help:"directory with a bundle or declarations"`
	Customer string `arg:"positional,required" placeholder:"CUSTOMER" help:"name of a customer with a contract in DIR"`
}

// Run prints the explanation.
func (e *Explain) Run(_ context.Context, stdout, stderr io.Writer) error {
	s, err := loadSnapshot("explain", e.Dir, stderr)
	if err != nil {
		return err
	}
	x, err := ffdeclaration.Explain(s, e.Customer)
	if err != nil {
		return commandError("explain", err)
	}
	printLimits(stdout, x)
	for _, v := range x.Services {
		printService(stdout, v)
	}
	for _, r := range x.Routes {
		printRoute(stdout, x, r)
	}
	return nil
}

// printLimits prints the limits of the contract. Field names are those of the declarations.
func printLimits(w io.Writer, x ffdeclaration.Explanation) {
	c := x.Contract
	fmt.Fprintf(w, "customer %s\n", c.Customer)
	fmt.Fprintf(w, "  keys            %d\n", len(c.KeyHashes))
	fmt.Fprintf(w, "  share           %d of %d, %.3g%% of all customers together\n", x.Share.Share, x.Share.Sum, x.Share.Percent())
	fmt.Fprintf(w, "  ratePerSecond   %g calls a second over all data centres\n", c.RatePerSecond)
	fmt.Fprintf(w, "  burst           %d calls at once above the rate\n", c.Burst)
	fmt.Fprintf(w, "  concurrency     %d calls in flight over all data centres\n", c.Concurrency)
	fmt.Fprintf(w, "  retryPercent    %d retries for each 100 calls\n", c.RetryPercent)
	fmt.Fprintf(w, "  hedgePercent    %d hedged attempts for each 100 calls\n", c.HedgePercent)
	fmt.Fprintf(w, "  maxBodyBytes    %d bytes in one request\n", c.MaxBodyBytes)
	fmt.Fprintf(w, "  maxConnections  %d connections to one daemon\n", c.MaxConnections)
}

// printService prints the customer's share of a service.
func printService(w io.Writer, s ffdeclaration.ServiceShare) {
	v := s.Service
	others := cmp.Or(strings.Join(s.Others, ", "), "nobody")
	fmt.Fprintf(w, "service %s\n", v.Name)
	fmt.Fprintf(w, "  share           %d of %d, %.3g%%; shared with %s\n", s.Share.Share, s.Share.Sum, s.Share.Percent(), others)
	fmt.Fprintf(w, "  slots           %.3g of %d of each target while all of these have calls waiting; %d of %d for long work\n", s.SlotsUnderLoad(), v.Slots, v.LongSlots, v.Slots)
	fmt.Fprintf(w, "  queueLength     %d calls wait at one target\n", v.QueueLength)
}

// printRoute prints a route and how often its calls may run.
func printRoute(w io.Writer, x ffdeclaration.Explanation, r ffdeclaration.RouteRule) {
	v := r.Route
	fmt.Fprintf(w, "route %s\n", v.Name)
	fmt.Fprintf(w, "  request         %s %s\n", v.Method, v.Path)
	fmt.Fprintf(w, "  target          service %s, resource %s\n", v.Service, v.Resource)
	fmt.Fprintf(w, "  class           %s\n", v.Class)
	fmt.Fprintf(w, "  timeoutMillis   %d\n", v.TimeoutMillis)
	fmt.Fprintf(w, "  idempotent      %t: %s\n", v.Idempotent, describeAttempts(x, r))
}

// describeAttempts describes how often a call of the route may run.
func describeAttempts(x ffdeclaration.Explanation, r ffdeclaration.RouteRule) string {
	if r.AtMostOnce {
		return "runs at most once; never hedged; sent again only when it provably did not run; to ask again a caller needs a token"
	}
	rules := []string{"may run more than once", "not retried", "not hedged"}
	if r.Retried {
		rules[1] = fmt.Sprintf("retried within %d%%", x.Contract.RetryPercent)
	}
	if r.Hedged {
		rules[2] = fmt.Sprintf("hedged within %d%%", x.Contract.HedgePercent)
	}
	return strings.Join(rules, "; ")
}
