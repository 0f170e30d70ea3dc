package ffcommand

import (
	"context"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
)

// fleetArguments are the arguments of commands that query all daemons of a fleet. The
// member list of the daemon at Address determines the daemons.
type fleetArguments struct {
	Address string `arg:"positional,required" placeholder:"ADDRESS" help:"operators' address of any daemon, as IP:PORT"`
	Key     string `arg:"--operator-key,env:FIREFLYFALL_OPERATOR_KEY" placeholder:"KEY" help:"the operator key, if the daemons ask for one"`
}

// members requests the member list and returns it with a client for further requests.
// op is the name of the command in errors.
func (f *fleetArguments) members(ctx context.Context, op string) (*ffoperator.Client, []ffmember.VM, error) {
	c := &ffoperator.Client{Key: f.Key}
	vms, err := c.Members(ctx, f.Address)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindFailed, Err: merry.Prepend(err, "members")}
	}
	return c, vms, nil
}
