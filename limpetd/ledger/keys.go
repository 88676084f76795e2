package ledger

import "strings"

// Prefix returns the common prefix of the ledger keys of a data centre.
func Prefix(environment, dataCentre string) string {
	return environment + "/ledger/" + dataCentre + "/"
}

// Key returns the table key of an engine's row.
func Key(environment, dataCentre, engineVM string) string {
	return Prefix(environment, dataCentre) + engineVM
}

// EngineOf returns the engine VM id of a key under prefix.
func EngineOf(prefix, key string) string {
	return strings.TrimPrefix(key, prefix)
}
