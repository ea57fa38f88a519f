package main

import (
	"testing"

	"github.com/integrii/flaggy"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/settings"
)

func TestFlagsThatAreGivenOverrideTheSettings(t *testing.T) {
	parser := flaggy.NewParser("shalefork")
	subcommand := flaggy.NewSubcommand("gateway")
	flags := &settingsFlags{}
	flags.attach(subcommand, "peer_listen", "controllers")
	parser.AttachSubcommand(subcommand, 1)
	arguments := []string{"gateway", "--settings", "g.yaml", "--peer-listen", "127.0.0.1:1", "--controllers", "127.0.0.1:2,127.0.0.1:3"}
	assert.NilError(t, parser.ParseArgs(arguments))
	assert.Equal(t, flags.file, "g.yaml")
	assert.DeepEqual(t, flags.overrides(), []settings.Override{
		{Field: "peer_listen", Value: `"127.0.0.1:1"`},
		{Field: "controllers", Value: `["127.0.0.1:2", "127.0.0.1:3"]`},
	})
}

func TestNoFlagTakesTheToken(t *testing.T) {
	for _, field := range commonFields {
		assert.Assert(t, field != "token")
	}
}
