// Package conf defines the settings of limpetd, which are flags and environment
// variables, and validates them at the start of the daemon.
//
// All invalid settings are reported in one error, each with its flag, its
// environment variable, its value and the allowed values. The settings reference
// in docs/settings.md is generated from this package.
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

// Config holds the settings of a daemon.
type Config struct {
	VM          string `name:"vm" env:"LIMPETD_VM" help:"Id of this VM in the platform's VM list." required:""`
	DataCentre  string `name:"data-centre" env:"LIMPETD_DATA_CENTRE" help:"Data centre of this VM." required:""`
	Region      string `name:"region" env:"LIMPETD_REGION" help:"Region of this VM." default:"default"`
	Environment string `name:"environment" env:"LIMPETD_ENVIRONMENT" help:"Environment that this daemon serves." required:""`
	Stage       string `name:"stage" env:"LIMPETD_STAGE" help:"Stage of the environment: trial or production." default:"production"`

	Platform      string `name:"platform" env:"LIMPETD_PLATFORM" help:"Base URL of the platform's table, object store and VM list." required:""`
	PlatformPlain bool   `name:"platform-plain" env:"LIMPETD_PLATFORM_PLAIN" help:"Allow an http URL, without TLS, for the platform."`

	CallerAddress   string `name:"caller-address" env:"LIMPETD_CALLER_ADDRESS" help:"Address (ip:port) on which the daemon serves callers." default:"0.0.0.0:8080"`
	PeerAddress     string `name:"peer-address" env:"LIMPETD_PEER_ADDRESS" help:"Address (ip:port) on which the daemon serves other daemons; they must be able to reach it." required:""`
	OperatorAddress string `name:"operator-address" env:"LIMPETD_OPERATOR_ADDRESS" help:"Address (ip:port) on which the daemon serves operators." default:"0.0.0.0:8082"`

	Peers []string `name:"peer" env:"LIMPETD_PEERS" help:"Addresses (ip:port) of daemons to query while the VM list cannot be read; repeat the flag or separate addresses by commas."`

	CallerCertificate string `name:"caller-certificate" env:"LIMPETD_CALLER_CERTIFICATE" help:"PEM certificate chain for serving callers and operators, as a file name or as text."`
	CallerKey         string `name:"caller-key" env:"LIMPETD_CALLER_KEY" help:"PEM key for serving callers and operators, as a file name or as text."`
	PeerCertificate   string `name:"peer-certificate" env:"LIMPETD_PEER_CERTIFICATE" help:"PEM certificate chain for connections to daemons and to the platform, as a file name or as text."`
	PeerKey           string `name:"peer-key" env:"LIMPETD_PEER_KEY" help:"PEM key for connections to daemons and to the platform, as a file name or as text."`
	PeerAuthority     string `name:"peer-authority" env:"LIMPETD_PEER_AUTHORITY" help:"PEM certificates of the authorities that sign the certificates of daemons and of the platform, as a file name or as text."`
	CallerPlain       bool   `name:"caller-plain" env:"LIMPETD_CALLER_PLAIN" help:"Serve callers and operators without TLS."`
	PeerPlain         bool   `name:"peer-plain" env:"LIMPETD_PEER_PLAIN" help:"Use no TLS between daemons."`

	Operators []string `name:"operator" env:"LIMPETD_OPERATORS" help:"Operators as name:digest, where digest is the SHA-256 of the operator's token in hexadecimal; repeat the flag or separate operators by commas."`

	LeaseTerm     time.Duration `name:"lease-term" env:"LIMPETD_LEASE_TERM" help:"Duration of the placement lease." default:"10s"`
	PlanPeriod    time.Duration `name:"plan-period" env:"LIMPETD_PLAN_PERIOD" help:"Interval between placement plans." default:"1s"`
	DrainTimeout  time.Duration `name:"drain-timeout" env:"LIMPETD_DRAIN_TIMEOUT" help:"Maximum time that a leaving daemon waits for requests in flight." default:"15m"`
	BatchKeep     time.Duration `name:"batch-keep" env:"LIMPETD_BATCH_KEEP" help:"How long an ended batch is kept, with its input and result; must be the same on all daemons." default:"168h"`
	MaxBody       int64         `name:"max-body" env:"LIMPETD_MAX_BODY" help:"Maximum size of a request body in bytes." default:"4194304"`
	BodyTimeout   time.Duration `name:"body-timeout" env:"LIMPETD_BODY_TIMEOUT" help:"Maximum time to receive a request body." default:"30s"`
	MinBodyRate   int64         `name:"min-body-rate" env:"LIMPETD_MIN_BODY_RATE" help:"Minimum rate of a request body in bytes per second, over 5 s." default:"1024"`
	MemoryMB      int           `name:"memory-mb" env:"LIMPETD_MEMORY_MB" help:"Memory limit of the process in MB, from which the limit of what it holds for callers is derived; 0 for none. A batch of 8 MiB needs 123." default:"0"`
	MaxFDs        int           `name:"max-fds" env:"LIMPETD_MAX_FDS" help:"Maximum number of open descriptors, from which the limits of connections of callers and of other daemons are derived; 0 for none. 361 daemons need 2,210." default:"0"`
	EventCapacity int           `name:"event-capacity" env:"LIMPETD_EVENT_CAPACITY" help:"Number of events that the daemon keeps for the timeline." default:"8192"`
	LogLevel      string        `name:"log-level" env:"LIMPETD_LOG_LEVEL" help:"Minimum level of log lines: debug, info, warn or error." default:"info"`
}

// Minimum and maximum values of the settings.
const (
	MinLeaseTerm  = 2 * time.Second
	MaxLeaseTerm  = 2 * time.Minute
	MinPlanPeriod = 100 * time.Millisecond
	MaxPlanPeriod = time.Minute
	MinBatchKeep  = time.Hour
	MaxBatchKeep  = 365 * 24 * time.Hour
	MinBodyBytes  = 1 << 10
	MaxBodyBytes  = 64 << 20
	// maxShownPath is the maximum length in bytes of a path in an error message.
	maxShownPath = 200
)

// Operator is a person or script that may call the operators' interface.
type Operator struct {
	Name string
	// TokenSHA256 is the SHA-256 digest of the operator's token.
	TokenSHA256 [32]byte
}

// invalidSetting describes an invalid setting and its allowed values.
type invalidSetting struct {
	flag, value, allowed string
}

// checker collects the invalid settings of a Config.
type checker struct {
	invalid []invalidSetting
}

// require records the setting as invalid unless ok is true.
func (k *checker) require(ok bool, flag string, value any, allowed string) {
	if !ok {
		k.invalid = append(k.invalid, invalidSetting{flag: flag, value: fmt.Sprint(value), allowed: allowed})
	}
}

// err returns an error that lists all invalid settings, or nil if there are none.
func (k *checker) err() error {
	if len(k.invalid) == 0 {
		return nil
	}
	lines := make([]string, 0, len(k.invalid))
	for _, s := range k.invalid {
		variable := "LIMPETD_" + strings.ToUpper(strings.ReplaceAll(s.flag, "-", "_"))
		if s.flag == "operator" || s.flag == "peer" {
			variable += "S"
		}
		lines = append(lines, fmt.Sprintf("--%s (%s) is %q: must be %s", s.flag, variable, s.value, s.allowed))
	}
	return code.Errorf(code.BadSetting, "%d invalid settings:\n%s", len(lines), strings.Join(lines, "\n"))
}

// Check returns an error with code BadSetting that lists all invalid settings, or
// nil if there are none.
func (c *Config) Check() error {
	var k checker
	c.checkNames(&k)
	c.checkAddresses(&k)
	c.checkCertificates(&k)
	c.checkRanges(&k)
	_, err := c.ParseOperators()
	k.require(err == nil, "operator", strings.Join(redact(c.Operators), ","), "name:64 hexadecimal digits, each name once")
	return k.err()
}

// checkNames checks the names, the stage and the log level.
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

// checkAddresses checks the addresses and the URL of the platform.
func (c *Config) checkAddresses(k *checker) {
	const allowed = "an IP address and a port, such as 10.0.0.7:8080"
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

// checkCertificates checks that certificates and keys are readable, unless TLS is
// disabled.
func (c *Config) checkCertificates(k *checker) {
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

// requirePEM records the setting as invalid unless value is PEM text or the name of
// a readable file. A value that is neither may be a malformed key, so the error does
// not show values that are longer than maxShownPath or have several lines. The error
// names plainFlag, the flag that makes the setting unnecessary.
func (k *checker) requirePEM(value, flag, plainFlag string) {
	ok := strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN ") || isFile(value)
	if len(value) > maxShownPath || strings.Contains(value, "\n") {
		value = "(not shown)"
	}
	k.require(ok, flag, value, "a readable file or PEM text, or set --"+plainFlag)
}

// checkRanges checks durations, sizes and the event capacity.
func (c *Config) checkRanges(k *checker) {
	k.require(c.LeaseTerm >= MinLeaseTerm && c.LeaseTerm <= MaxLeaseTerm, "lease-term", c.LeaseTerm,
		fmt.Sprintf("%v to %v", MinLeaseTerm, MaxLeaseTerm))
	k.require(c.PlanPeriod >= MinPlanPeriod && c.PlanPeriod <= MaxPlanPeriod, "plan-period", c.PlanPeriod,
		fmt.Sprintf("%v to %v", MinPlanPeriod, MaxPlanPeriod))
	k.require(c.DrainTimeout >= time.Second, "drain-timeout", c.DrainTimeout, "at least 1s")
	k.require(c.BatchKeep >= MinBatchKeep && c.BatchKeep <= MaxBatchKeep, "batch-keep", c.BatchKeep,
		fmt.Sprintf("%v to %v", MinBatchKeep, MaxBatchKeep))
	k.require(c.BodyTimeout >= time.Second, "body-timeout", c.BodyTimeout, "at least 1s")
	k.require(c.MinBodyRate >= 0, "min-body-rate", c.MinBodyRate, "0 or more; 0 for the default")
	k.require(c.MemoryMB >= 0, "memory-mb", c.MemoryMB, "0 or more")
	k.require(c.MaxFDs >= 0, "max-fds", c.MaxFDs, "0 or more")
	k.require(c.MaxBody >= MinBodyBytes && c.MaxBody <= MaxBodyBytes, "max-body", c.MaxBody,
		fmt.Sprintf("%d to %d bytes", MinBodyBytes, MaxBodyBytes))
	k.require(c.EventCapacity >= 1 && c.EventCapacity <= 1<<20, "event-capacity", c.EventCapacity, "1 to 1048576")
}

// ParseOperators parses the Operators setting.
func (c *Config) ParseOperators() ([]Operator, error) {
	var operators []Operator
	seen := make(map[string]bool)
	for _, s := range c.Operators {
		name, digest, _ := strings.Cut(s, ":")
		sum, err := hex.DecodeString(digest)
		if err != nil || len(sum) != 32 || !isName(name) || seen[name] {
			return nil, code.Errorf(code.BadSetting, "operator %q must be name:digest with a SHA-256 digest in hexadecimal, each name once", name)
		}
		seen[name] = true
		o := Operator{Name: name}
		copy(o.TokenSHA256[:], sum)
		operators = append(operators, o)
	}
	return operators, nil
}

// redact replaces the digests in a list of operators by an ellipsis.
func redact(operators []string) []string {
	names := make([]string, 0, len(operators))
	for _, o := range operators {
		name, _, _ := strings.Cut(o, ":")
		names = append(names, name+":…")
	}
	return names
}

// isName reports whether s is a valid name of a VM, data centre, region, environment
// or operator.
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

// isAddress reports whether s is an IP address and a port.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = net.LookupPort("tcp", port)
	return err == nil
}

// isFile reports whether path can be opened for reading.
func isFile(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	_ = f.Close()
	return true
}
