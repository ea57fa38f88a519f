package operator

import (
	"fmt"
	"os"

	"github.com/shalefork/shalefork/internal/settings"
)

// CheckConfig validates a settings file as a router does at its start, without starting one.
func CheckConfig(output Output, path string) ExitCode {
	data, err := os.ReadFile(path)
	if err != nil {
		return output.Fail(Error.Wrap(err))
	}
	if _, err = settings.ReadRouter(path, data, nil); err != nil {
		return output.Fail(err)
	}
	fmt.Fprintf(output.Result, "%s is valid for a router\n", path)
	return ExitOK
}
