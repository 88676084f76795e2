// Package conf holds the settings of limpetd: flags and environment variables,
// all checked at the start.
//
// Every fault is reported at once, each with the flag, its environment
// variable, the value and what is allowed. The settings reference in
// docs/settings.md is generated from this package.
//
// # Usage
//
//	var c conf.Config
//	kong.Parse(&c)
//	if err := c.Check(); err != nil { ... } // code BadSetting
package conf

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Config is the settings of a daemon.
type Config struct {
	VM          string `name:"vm" env:"LIMPETD_VM" help:"Id of this VM in the platform's VM list." required:""`
	DataCentre  string `name:"data-centre" env:"LIMPETD_DATA_CENTRE" help:"Data centre of this VM." required:""`
	Region      string `name:"region" env:"LIMPETD_REGION" help:"Region of this VM." default:"default"`
	Environment string `name:"environment" env:"LIMPETD_ENVIRONMENT" help:"Environment that this daemon serves." required:""`
	Stage       string `name:"stage" env:"LIMPETD_STAGE" help:"Stage of the environment: trial or production." default:"production"`

	Platform      string `name:"platform" env:"LIMPETD_PLATFORM" help:"Base URL of the platform's table, object store and VM list." required:""`
	PlatformPlain bool   `name:"platform-plain" env:"LIMPETD_PLATFORM_PLAIN" help:"Allow an http platform URL, without TLS."`

	CallerAddress   string `name:"caller-address" env:"LIMPETD_CALLER_ADDRESS" help:"Address (ip:port) of the callers' interface." default:"0.0.0.0:8080"`
	PeerAddress     string `name:"peer-address" env:"LIMPETD_PEER_ADDRESS" help:"Address (ip:port) of the interface between daemons, as peers reach it." required:""`
	OperatorAddress string `name:"operator-address" env:"LIMPETD_OPERATOR_ADDRESS" help:"Address (ip:port) of the operators' interface." default:"0.0.0.0:8082"`

	Peers []string `name:"peer" env:"LIMPETD_PEERS" help:"Addresses (ip:port) of peers to ask while the VM list cannot be read; repeat or separate by commas."`

	CallerCertificate string `name:"caller-certificate" env:"LIMPETD_CALLER_CERTIFICATE" help:"File with, or text of, the PEM certificate chain of the callers' and operators' interfaces."`
	CallerKey         string `name:"caller-key" env:"LIMPETD_CALLER_KEY" help:"File with, or text of, the PEM key of the callers' and operators' interfaces."`
	PeerCertificate   string `name:"peer-certificate" env:"LIMPETD_PEER_CERTIFICATE" help:"File with, or text of, the PEM certificate chain used between daemons and to the platform."`
	PeerKey           string `name:"peer-key" env:"LIMPETD_PEER_KEY" help:"File with, or text of, the PEM key used between daemons and to the platform."`
	PeerAuthority     string `name:"peer-authority" env:"LIMPETD_PEER_AUTHORITY" help:"File with, or text of, the PEM certificates that peers and the platform must be signed by."`
	CallerPlain       bool   `name:"caller-plain" env:"LIMPETD_CALLER_PLAIN" help:"Serve callers and operators without TLS."`
	PeerPlain         bool   `name:"peer-plain" env:"LIMPETD_PEER_PLAIN" help:"Speak to daemons without TLS."`

	Operators []string `name:"operator" env:"LIMPETD_OPERATORS" help:"Operators as name:sha256 of the token in hexadecimal; repeat or separate by commas."`

	LeaseTerm     time.Duration `name:"lease-term" env:"LIMPETD_LEASE_TERM" help:"Term of the placement lease." default:"10s"`
	PlanPeriod    time.Duration `name:"plan-period" env:"LIMPETD_PLAN_PERIOD" help:"Time between placement plans." default:"1s"`
	DrainTimeout  time.Duration `name:"drain-timeout" env:"LIMPETD_DRAIN_TIMEOUT" help:"Longest time that a leaving daemon waits for requests in flight." default:"15m"`
	BatchKeep     time.Duration `name:"batch-keep" env:"LIMPETD_BATCH_KEEP" help:"How long a batch that has ended is kept, with its input and result; the same at all daemons." default:"168h"`
	MaxBody       int64         `name:"max-body" env:"LIMPETD_MAX_BODY" help:"Largest request body in bytes." default:"4194304"`
	BodyTimeout   time.Duration `name:"body-timeout" env:"LIMPETD_BODY_TIMEOUT" help:"Longest time to receive a request body." default:"30s"`
	EventCapacity int           `name:"event-capacity" env:"LIMPETD_EVENT_CAPACITY" help:"Number of events kept for the time line." default:"8192"`
	LogLevel      string        `name:"log-level" env:"LIMPETD_LOG_LEVEL" help:"Least level of log lines: debug, info, warn or error." default:"info"`
}

// Limits of the settings.
const (
	MinLeaseTerm  = 2 * time.Second
	MaxLeaseTerm  = 2 * time.Minute
	MinPlanPeriod = 100 * time.Millisecond
	MaxPlanPeriod = time.Minute
	MinBatchKeep  = time.Hour
	MaxBatchKeep  = 365 * 24 * time.Hour
	MinBodyBytes  = 1 << 10
	MaxBodyBytes  = 64 << 20
	// maxShownPath is the length of the longest path that an error shows.
	maxShownPath = 200
)

// Operator is a person or script that may call the operators' interface.
type Operator struct {
	Name string
	// TokenSHA256 is the digest of the token.
	TokenSHA256 [32]byte
}

// fault is a refused setting.
type fault struct {
	flag, value, allowed string
}

// checker collects the faults of a Config.
type checker struct {
	faults []fault
}

// require notes a fault unless ok.
func (k *checker) require(ok bool, flag string, value any, allowed string) {
	if !ok {
		k.faults = append(k.faults, fault{flag: flag, value: fmt.Sprint(value), allowed: allowed})
	}
}

// err returns all faults as one error.
func (k *checker) err() error {
	if len(k.faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(k.faults))
	for _, f := range k.faults {
		variable := "LIMPETD_" + strings.ToUpper(strings.ReplaceAll(f.flag, "-", "_"))
		if f.flag == "operator" || f.flag == "peer" {
			variable += "S"
		}
		lines = append(lines, fmt.Sprintf("--%s (%s) is %q: must be %s", f.flag, variable, f.value, f.allowed))
	}
	return code.Errorf(code.BadSetting, "%d settings refused:\n%s", len(lines), strings.Join(lines, "\n"))
}

// Check returns all faults of the settings as one error with code BadSetting.
func (c *Config) Check() error {
	var k checker
	c.checkNames(&k)
	c.checkAddresses(&k)
	c.checkFiles(&k)
	c.checkTimes(&k)
	_, err := c.ParseOperators()
	k.require(err == nil, "operator", strings.Join(redact(c.Operators), ","), "name:64 hexadecimal digits, each name once")
	return k.err()
}

func (c *Config) checkNames(k *checker) {
	const allowed = "1 to 64 letters, digits, dots, dashes or underscores"
	k.require(isName(c.VM), "vm", c.VM, allowed)
	k.require(isName(c.DataCentre), "data-centre", c.DataCentre, allowed)
	k.require(isName(c.Region), "region", c.Region, allowed)
	k.require(isName(c.Environment), "environment", c.Environment, allowed)
	k.require(c.Stage == "trial" || c.Stage == "production", "stage", c.Stage, "trial or production")
	switch c.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		k.require(false, "log-level", c.LogLevel, "debug, info, warn or error")
	}
}

func (c *Config) checkAddresses(k *checker) {
	const allowed = "an IP number and a port, such as 10.0.0.7:8080"
	k.require(isAddress(c.CallerAddress), "caller-address", c.CallerAddress, allowed)
	k.require(isAddress(c.PeerAddress), "peer-address", c.PeerAddress, allowed)
	k.require(isAddress(c.OperatorAddress), "operator-address", c.OperatorAddress, allowed)
	host, _, err := net.SplitHostPort(c.PeerAddress)
	k.require(err != nil || !net.ParseIP(host).IsUnspecified(), "peer-address", c.PeerAddress, "an address that peers can reach")
	for _, p := range c.Peers {
		k.require(isAddress(p), "peer", p, allowed)
	}
	u, err := url.Parse(c.Platform)
	ok := err == nil && u.Host != "" && (u.Scheme == "https" || u.Scheme == "http" && c.PlatformPlain)
	k.require(ok, "platform", c.Platform, "an https URL, or an http URL with --platform-plain")
}

func (c *Config) checkFiles(k *checker) {
	if !c.CallerPlain {
		k.requirePEM(c.CallerCertificate, "caller-certificate", "caller-plain")
		k.requirePEM(c.CallerKey, "caller-key", "caller-plain")
	}
	if !c.PeerPlain {
		k.requirePEM(c.PeerCertificate, "peer-certificate", "peer-plain")
		k.requirePEM(c.PeerKey, "peer-key", "peer-plain")
		k.requirePEM(c.PeerAuthority, "peer-authority", "peer-plain")
	}
}

// requirePEM notes a fault unless value is PEM text or names a readable file. A
// value that is neither may be a key gone wrong, so it is not shown when it is
// longer than a path.
func (k *checker) requirePEM(value, flag, plain string) {
	ok := strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN ") || isFile(value)
	if len(value) > maxShownPath || strings.Contains(value, "\n") {
		value = "(not shown)"
	}
	k.require(ok, flag, value, "a readable file or PEM text, or set --"+plain)
}

func (c *Config) checkTimes(k *checker) {
	k.require(c.LeaseTerm >= MinLeaseTerm && c.LeaseTerm <= MaxLeaseTerm, "lease-term", c.LeaseTerm,
		fmt.Sprintf("%v to %v", MinLeaseTerm, MaxLeaseTerm))
	k.require(c.PlanPeriod >= MinPlanPeriod && c.PlanPeriod <= MaxPlanPeriod, "plan-period", c.PlanPeriod,
		fmt.Sprintf("%v to %v", MinPlanPeriod, MaxPlanPeriod))
	k.require(c.DrainTimeout >= time.Second, "drain-timeout", c.DrainTimeout, "at least 1s")
	k.require(c.BatchKeep >= MinBatchKeep && c.BatchKeep <= MaxBatchKeep, "batch-keep", c.BatchKeep,
		fmt.Sprintf("%v to %v", MinBatchKeep, MaxBatchKeep))
	k.require(c.BodyTimeout >= time.Second, "body-timeout", c.BodyTimeout, "at least 1s")
	k.require(c.MaxBody >= MinBodyBytes && c.MaxBody <= MaxBodyBytes, "max-body", c.MaxBody,
		fmt.Sprintf("%d to %d bytes", MinBodyBytes, MaxBodyBytes))
	k.require(c.EventCapacity >= 1 && c.EventCapacity <= 1<<20, "event-capacity", c.EventCapacity, "1 to 1048576")
}

// ParseOperators returns the declared operators.
func (c *Config) ParseOperators() ([]Operator, error) {
	var operators []Operator
	seen := make(map[string]bool)
	for _, s := range c.Operators {
		name, digest, _ := strings.Cut(s, ":")
		sum, err := hex.DecodeString(digest)
		if err != nil || len(sum) != 32 || !isName(name) || seen[name] {
			return nil, code.Errorf(code.BadSetting, "operator %q is not name:sha256", name)
		}
		seen[name] = true
		o := Operator{Name: name}
		copy(o.TokenSHA256[:], sum)
		operators = append(operators, o)
	}
	return operators, nil
}

// redact returns the names of operators without their digests.
func redact(operators []string) []string {
	names := make([]string, 0, len(operators))
	for _, o := range operators {
		name, _, _ := strings.Cut(o, ":")
		names = append(names, name+":…")
	}
	return names
}

func isName(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune(".-_", r) {
			return false
		}
	}
	return true
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = net.LookupPort("tcp", port)
	return err == nil
}

func isFile(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	_ = f.Close()
	return true
}
