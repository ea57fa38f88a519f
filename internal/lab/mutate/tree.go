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

// outcome is what became of a mutation.
type outcome string

const (
	// outcomeKilled: the named test passed before the change and failed after.
	outcomeKilled outcome = "killed"
	// outcomeSurvived: the named test passed in spite of the change.
	outcomeSurvived outcome = "SURVIVED"
	// outcomeInvalid: the change could not be tried.
	outcomeInvalid outcome = "INVALID"
)

// result of one mutation; detail explains an outcome that is not killed.
type result struct {
	outcome outcome
	detail  string
}

// tree is a copy of the source tree that is changed and changed back.
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

// excludedDirs are directories without sources.
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

// try runs the test of a mutation without and with the change.
func (t tree) run(m mutation) result {
	path := filepath.Join(t.root, m.file)
	original, err := os.ReadFile(path)
	if err != nil {
		return invalid(err)
	}
	if found := strings.Count(string(original), m.old); found != 1 {
		return invalid(fmt.Errorf("%s: found %d times, not once: %q", m.file, found, m.old))
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

func (t tree) runChanged(m mutation) result {
	output, err := t.runTest(m)
	if err == nil {
		return result{outcome: outcomeSurvived}
	}
	var ended *exec.ExitError
	if !errors.As(err, &ended) {
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

// test runs the named test once.
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
