package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

func TestLoadRejectsMissingFlags(t *testing.T) {
	c := loadCommand{Address: []string{"127.0.0.1:1"}, Count: 2, Workers: 1, Duration: time.Minute, MaxTokens: 1}
	require.Equal(t, code.BadParameter, code.Of(c.Run(t.Context())), "no key and no model")
	c.Key, c.Model = "key", "model"
	require.ErrorContains(t, c.Run(t.Context()), "2 requests ended without an answer or a code, the first: ")
	c.CompareDirect = true
	require.Equal(t, code.BadParameter, code.Of(c.Run(t.Context())), "no engine to compare with")
}
