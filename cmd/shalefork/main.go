// Command shalefork runs the router and the operators' commands.
package main

import (
	"os"

	"github.com/shalefork/shalefork/internal/cli"
)

func main() {
	program := cli.NewProgram("shalefork", "A router for servers that own their keys exclusively.")
	program.Add(routerCommand())
	program.Add(explainCommand())
	program.AddGroup("bundle", "Propose, approve and roll a team's bundle.", bundleCommands()...)
	program.Add(statusCommand())
	program.AddGroup("quarantine", "Requests that crash the workers that run them.", quarantineCommands()...)
	program.AddGroup("tenant", "API keys of tenants.", tenantCommands()...)
	program.AddGroup("config", "Check settings without starting.", configCheckCommand())
	program.AddGroup("operator", "Keys of operators.", operatorKeygenCommand())
	program.Main(os.Args[1:])
}
