// Command shalefork-lab tests the system against a stand-in for its platform. It is never deployed.
package main

import (
	"os"

	"github.com/shalefork/shalefork/internal/cli"
)

func main() {
	program := cli.NewProgram("shalefork-lab", "Plays shalefork against a stand-in of its platform.")
	program.Add(demoCommand())
	program.Add(soakCommand())
	program.Add(lossesCommand())
	program.Main(os.Args[1:])
}
