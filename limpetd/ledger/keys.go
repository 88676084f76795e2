package ledger

import "strings"

// Prefix returns the prefix that the table keys of all ledger rows of a data
// centre share.
func Prefix(environment, dataCentre string) string {
	return environment + "/ledger/" + dataCentre + "/"
}

// Key returns the table key of an engine's ledger row.
func Key(environment, dataCentre, engineVM string) string {
	return Prefix(environment, dataCentre) + engineVM
}

// EngineVM returns the VM id of the engine whose ledger row has the table key
// key. prefix is the result of Prefix.
func EngineVM(prefix, key string) string {
	return strings.TrimPrefix(key, prefix)
}
