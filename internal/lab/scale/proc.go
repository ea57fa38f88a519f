package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// procSample is what the kernel says of one process.
type procSample struct {
	cpu time.Duration
	// read and written are bytes of all files and sockets.
	read, written float64
	resident      float64
}

// sampleProcess reads the kernel's files about a process.
func sampleProcess(pid int) (procSample, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	cpu, err := threadTimes(filepath.Join(directory, "task"))
	if err != nil {
		return procSample{}, err
	}
	io, err := procFields(filepath.Join(directory, "io"))
	if err != nil {
		return procSample{}, err
	}
	status, err := procFields(filepath.Join(directory, "status"))
	if err != nil {
		return procSample{}, err
	}
	const kibibyte = 1024
	return procSample{
		cpu: cpu, read: io["rchar"], written: io["wchar"], resident: status["VmRSS"] * kibibyte,
	}, nil
}

// threadTimes sums the time on a processor of all threads, which the kernel
// counts in nanoseconds.
func threadTimes(tasks string) (time.Duration, error) {
	threads, err := os.ReadDir(tasks)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	sum := time.Duration(0)
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(tasks, thread.Name(), "schedstat"))
		if err != nil {
			continue // the thread has ended
		}
		var onProcessor int64
		if _, err := fmt.Sscan(string(text), &onProcessor); err != nil {
			return 0, Error.Wrap(err)
		}
		sum += time.Duration(onProcessor)
	}
	return sum, nil
}

// procFields reads lines of "name: number unit"; others are left out.
func procFields(path string) (map[string]float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	fields := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		if number, err := strconv.ParseFloat(words[0], 64); err == nil {
			fields[name] = number
		}
	}
	return fields, nil
}
