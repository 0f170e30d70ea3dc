package ffdaemon

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

// Settings are the flags and environment variables of a daemon.
type Settings struct {
	Name              string        `arg:"--name,env:FIREFLYFALL_NAME,required" placeholder:"NAME" help:"name of this VM, as the platform lists it"`
	DataCentre        string        `arg:"--data-centre,env:FIREFLYFALL_DATA_CENTRE,required" placeholder:"NAME" help:"data centre of this VM"`
	Service           string        `arg:"--service,env:FIREFLYFALL_SERVICE,required" placeholder:"NAME" help:"service of the target on this VM"`
	Target            string        `arg:"--target,env:FIREFLYFALL_TARGET,required" placeholder:"IP:PORT" help:"address of the target on this VM"`
	CallerAddress     string        `arg:"--caller-address,env:FIREFLYFALL_CALLER_ADDRESS,required" placeholder:"IP:PORT" help:"address for callers"`
	PeerAddress       string        `arg:"--peer-address,env:FIREFLYFALL_PEER_ADDRESS,required" placeholder:"IP:PORT" help:"address for the control messages of other daemons"`
	ForwardAddress    string        `arg:"--forward-address,env:FIREFLYFALL_FORWARD_ADDRESS,required" placeholder:"IP:PORT" help:"address for calls from other daemons"`
	PeerAdvertised    string        `arg:"--peer-advertised,env:FIREFLYFALL_PEER_ADVERTISED" placeholder:"IP:PORT" help:"address for control messages as other daemons reach it, when it differs"`
	ForwardAdvertised string        `arg:"--forward-advertised,env:FIREFLYFALL_FORWARD_ADVERTISED" placeholder:"IP:PORT" help:"address for calls as other daemons reach it, when it differs"`
	OperatorAddress   string        `arg:"--operator-address,env:FIREFLYFALL_OPERATOR_ADDRESS,required" placeholder:"IP:PORT" help:"address for operators; keep it closed to callers"`
	OperatorKey       string        `arg:"--operator-key,env:FIREFLYFALL_OPERATOR_KEY" placeholder:"KEY" help:"key that operators must send; none is asked when empty"`
	Platform          []string      `arg:"--platform,env:FIREFLYFALL_PLATFORM,required" placeholder:"IP:PORT" help:"addresses of the platform, tried in turn"`
	Peers             []string      `arg:"--peers,env:FIREFLYFALL_PEERS" placeholder:"IP:PORT" help:"peer addresses of daemons to ask when the platform does not answer"`
	PlatformRate      float64       `arg:"--platform-rate,env:FIREFLYFALL_PLATFORM_RATE" default:"2000" placeholder:"N" help:"calls a second that the platform allows over all readers"`
	MaxFleet          int           `arg:"--max-fleet,env:FIREFLYFALL_MAX_FLEET" default:"5200" placeholder:"N" help:"greatest number of daemons, assumed while the fleet is unknown"`
	DrainTimeout      time.Duration `arg:"--drain-timeout,env:FIREFLYFALL_DRAIN_TIMEOUT" default:"10m" placeholder:"DURATION" help:"greatest time that a planned stop waits for calls in flight"`
	Off               []string      `arg:"--off,env:FIREFLYFALL_OFF" placeholder:"POLICY" help:"policies to turn off, to compare with and without: twoChoices, loadReports, shunning, ownTarget, spill, fairQueue, reservedSlots, deadlineRefusal, hedging, sharedLimits"`
	LogLevel          string        `arg:"--log-level,env:FIREFLYFALL_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
}

const (
	minDrainTimeout = time.Second
	maxDrainTimeout = 24 * time.Hour
	maxFleet        = 100_000
	maxPlatformRate = 1_000_000
)

// Validate returns an error that lists every setting with an invalid value.
func (s *Settings) Validate() error {
	var f settingErrors
	f.name("name", s.Name)
	f.name("data-centre", s.DataCentre)
	f.name("service", s.Service)
	f.address("target", s.Target)
	f.address("caller-address", s.CallerAddress)
	f.address("peer-address", s.PeerAddress)
	f.address("forward-address", s.ForwardAddress)
	f.address("operator-address", s.OperatorAddress)
	f.optionalAddress("peer-advertised", s.PeerAdvertised)
	f.optionalAddress("forward-advertised", s.ForwardAdvertised)
	f.addresses("platform", s.Platform)
	f.addresses("peers", s.Peers)
	f.require(s.PlatformRate > 0 && s.PlatformRate <= maxPlatformRate, "platform-rate", s.PlatformRate, "above 0 and at most 1000000")
	f.require(s.MaxFleet >= 1 && s.MaxFleet <= maxFleet, "max-fleet", s.MaxFleet, "1 to 100000")
	f.require(s.DrainTimeout >= minDrainTimeout && s.DrainTimeout <= maxDrainTimeout, "drain-timeout", s.DrainTimeout, "1s to 24h")
	for _, name := range s.Off {
		f.require(policies[name] != nil, "off", name, "one of "+policyNames())
	}
	_, err := zerolog.ParseLevel(s.LogLevel)
	f.require(err == nil, "log-level", s.LogLevel, "debug, info, warn or error")
	if len(f) > 0 {
		return &Error{Op: "read settings", Kind: KindSettings, Err: merry.Wrap(errors.Join(f...))}
	}
	return nil
}

// settingErrors collects an error for each setting with an invalid value.
type settingErrors []error

func (f *settingErrors) require(ok bool, flag string, value any, allowed string) {
	if !ok {
		*f = append(*f, fmt.Errorf("--%s is %q, allowed is %s", flag, fmt.Sprint(value), allowed))
	}
}

func (f *settingErrors) name(flag, value string) {
	ok := value != "" && strings.Trim(value, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	f.require(ok, flag, value, "a name of lower-case letters, digits and hyphens")
}

func (f *settingErrors) address(flag, value string) {
	_, err := netip.ParseAddrPort(value)
	f.require(err == nil, flag, value, "an IP address and a port, such as 10.0.0.7:8080")
}

func (f *settingErrors) optionalAddress(flag, value string) {
	if value != "" {
		f.address(flag, value)
	}
}

func (f *settingErrors) addresses(flag string, values []string) {
	for _, v := range values {
		f.address(flag, v)
	}
}
