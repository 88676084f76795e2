package crowd_test

import (
	"context"
	"fmt"
	"strings"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetlab/crowd"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// addresses holds the key=value pairs of the log line with which limpetd reports its start.
type addresses map[string]string

func parseAddresses(line string) addresses {
	a := addresses{}
	for _, pair := range strings.Fields(line) {
		key, value, _ := strings.Cut(pair, "=")
		a[key] = value
	}
	return a
}

// daemon is limpetd as a member of a fleet.
type daemon struct {
	process   *process
	addresses addresses
}

var _ fleet.Daemon = (*daemon)(nil)

func (d *daemon) CallerAddr() string   { return d.addresses["callers"] }
func (d *daemon) PeerAddr() string     { return d.addresses["peers"] }
func (d *daemon) OperatorAddr() string { return d.addresses["operators"] }

// Leave implements fleet.Daemon.
func (d *daemon) Leave(context.Context) error { return d.process.command.Process.Kill() }

// environment returns the environment variables for the settings in c, with the limits of the tests.
func environment(c conf.Config, l limits) []string {
	return []string{
		"LIMPETD_VM=" + c.VM,
		"LIMPETD_DATA_CENTRE=" + c.DataCentre,
		"LIMPETD_REGION=" + c.Region,
		"LIMPETD_ENVIRONMENT=" + c.Environment,
		"LIMPETD_STAGE=" + c.Stage,
		"LIMPETD_PLATFORM=" + c.Platform,
		"LIMPETD_PLATFORM_PLAIN=true",
		"LIMPETD_CALLER_ADDRESS=" + c.CallerAddress,
		"LIMPETD_PEER_ADDRESS=" + c.PeerAddress,
		"LIMPETD_OPERATOR_ADDRESS=" + c.OperatorAddress,
		"LIMPETD_CALLER_PLAIN=true",
		"LIMPETD_PEER_PLAIN=true",
		"LIMPETD_OPERATORS=" + strings.Join(c.Operators, ","),
		"LIMPETD_LEASE_TERM=" + c.LeaseTerm.String(),
		"LIMPETD_PLAN_PERIOD=" + c.PlanPeriod.String(),
		"LIMPETD_DRAIN_TIMEOUT=" + c.DrainTimeout.String(),
		fmt.Sprint("LIMPETD_MAX_BODY=", crowd.BodyLimit),
		fmt.Sprint("LIMPETD_MEMORY_MB=", l.memoryMB),
		fmt.Sprint("LIMPETD_MAX_FDS=", l.maxFDs),
	}
}
