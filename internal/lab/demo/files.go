package demo

import (
	"bytes"
	"crypto/rand"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/strictyaml"
	"github.com/shalefork/shalefork/internal/wire"
)

const fileMode = 0o600

// files are what the processes of the demonstration are told at their start.
type files struct {
	directory string
	token     string
}

func newFiles() (files, error) {
	directory, err := os.MkdirTemp("", "shalefork-demo-")
	if err != nil {
		return files{}, Error.Wrap(err)
	}
	made := files{directory: directory, token: rand.Text()}
	return made, made.write("token", []byte(made.token+"\n"))
}

func (f files) path(name string) string {
	return filepath.Join(f.directory, name)
}

func (f files) write(name string, data []byte) error {
	return Error.Wrap(os.WriteFile(f.path(name), data, fileMode))
}

func (f files) writeYAML(name string, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return Error.Wrap(err)
	}
	return f.write(name, data)
}

// writeHistory writes the histories as lines of JSON.
func (f files) writeHistory(recorded history.History) error {
	var lines bytes.Buffer
	writer := wire.NewLineWriter(&lines)
	for _, execution := range recorded.Executions {
		if err := writer.Write(history.Line{Execution: &execution}); err != nil {
			return err
		}
	}
	for _, call := range recorded.Calls {
		if err := writer.Write(history.Line{Call: &call}); err != nil {
			return err
		}
	}
	return f.write("history.jsonl", lines.Bytes())
}

// ExampleDirectory returns the directory of an example that is given by its path
// or by its name alone.
func ExampleDirectory(example string) string {
	if filepath.Base(example) == example {
		return filepath.Join(examplesDirectory, example)
	}
	return example
}

// readBundle reads an example and moves it to this demonstration's ports.
func (c Config) readBundle(name string) (bundle.Bundle, error) {
	path := filepath.Join(c.Example, name)
	data, err := os.ReadFile(path)
	if err != nil {
		return bundle.Bundle{}, Error.Wrap(err)
	}
	read, problems := bundle.Read(path, data)
	if len(problems) > 0 {
		return bundle.Bundle{}, Error.New("%s", strictyaml.Format(problems))
	}
	return read, c.rebase(&read)
}

// readSettings reads the example's settings; the demonstration then changes
// addresses, token and operators.
func (c Config) readSettings() (settings.Controller, settings.Gateway, error) {
	var controller settings.Controller
	var gateway settings.Gateway
	path := filepath.Join(c.Example, "controller.yaml")
	data, err := os.ReadFile(path)
	if err != nil {
		return controller, gateway, Error.Wrap(err)
	}
	if controller, err = settings.ReadController(path, data, nil); err != nil {
		return controller, gateway, err
	}
	path = filepath.Join(c.Example, "gateway.yaml")
	if data, err = os.ReadFile(path); err != nil {
		return controller, gateway, Error.Wrap(err)
	}
	gateway, err = settings.ReadGateway(path, data, nil)
	return controller, gateway, err
}
