package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// outcome is the result category of a mutation.
type outcome string

const (
	// outcomeKilled: the test passes on the original code and fails on the mutated code.
	outcomeKilled outcome = "killed"
	// outcomeSurvived: the test passes on the mutated code.
	outcomeSurvived outcome = "SURVIVED"
	// outcomeInvalid: the mutation could not be tested.
	outcomeInvalid outcome = "INVALID"
)

// result is the result of one mutation. detail explains outcomeInvalid.
type result struct {
	outcome outcome
	detail  string
}

// tree is a copy of the source tree in which mutations are applied and reverted.
type tree struct{ root string }

// copyTree copies the Go module in the working directory, without .git.
func copyTree() (tree, error) {
	if _, err := os.Stat("go.mod"); err != nil {
		return tree{}, fmt.Errorf("run it in the root of the module: %w", err)
	}
	root, err := os.MkdirTemp("", "mutate-")
	if err != nil {
		return tree{}, err
	}
	return tree{root: root}, copySources(root)
}

// excludedDirs are not copied, since they contain no source code.
var excludedDirs = []string{".git", "bin", "target", "journal"}

func copySources(root string) error {
	return filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains(excludedDirs, entry.Name()) {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(root, path), 0o755)
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(root, path), content, 0o644)
	})
}

func (t tree) remove() {
	_ = os.RemoveAll(t.root)
}

// run runs the test of a mutation on the original code, and then on the mutated code.
func (t tree) run(m mutation) result {
	path := filepath.Join(t.root, m.file)
	original, err := os.ReadFile(path)
	if err != nil {
		return invalid(err)
	}
	if count := strings.Count(string(original), m.old); count != 1 {
		return invalid(fmt.Errorf("%s: found %d times, not once: %q", m.file, count, m.old))
	}
	if output, err := t.runTest(m); err != nil {
		return invalid(fmt.Errorf("the test fails without the change: %w\n%s", err, output))
	}
	defer func() { _ = os.WriteFile(path, original, 0o644) }()
	changed := strings.Replace(string(original), m.old, m.new, 1)
	if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
		return invalid(err)
	}
	if output, err := t.command("go", "build", "./..."); err != nil {
		return invalid(fmt.Errorf("it does not compile: %w\n%s", err, output))
	}
	return t.runChanged(m)
}

// runChanged runs the test of a mutation that has been applied.
func (t tree) runChanged(m mutation) result {
	output, err := t.runTest(m)
	if err == nil {
		return result{outcome: outcomeSurvived}
	}
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return invalid(err)
	}
	if !strings.Contains(output, "FAIL") {
		return invalid(fmt.Errorf("the test did not run:\n%s", output))
	}
	return result{outcome: outcomeKilled}
}

func invalid(err error) result {
	return result{outcome: outcomeInvalid, detail: err.Error()}
}

// runTest runs the test of a mutation once.
func (t tree) runTest(m mutation) (string, error) {
	output, err := t.command("go", "test", "-count=1", "-timeout=5m", "-run", "^"+m.test+"$", m.pkg)
	if err == nil && strings.Contains(output, "no tests to run") {
		return output, fmt.Errorf("no test is named %s", m.test)
	}
	return output, err
}

func (t tree) command(name string, arguments ...string) (string, error) {
	command := exec.Command(name, arguments...)
	command.Dir = t.root
	output, err := command.CombinedOutput()
	return string(output), err
}
