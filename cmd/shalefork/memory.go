package main

import (
	"runtime/debug"

	"github.com/shalefork/shalefork/internal/settings"
)

const (
	// runtimeShare is the share of the machine's memory that the runtime may use before it collects garbage
	// more often and returns memory at once. The rest is for the program's own pages and the kernel's buffers.
	runtimeShare = 0.7
	// bytesInMegabyte converts the setting to bytes.
	bytesInMegabyte = 1 << 20
)

// limitMemory tells the runtime how much memory the machine has, if that is known. The limit does not hold
// against memory in use.
func limitMemory(machine settings.Machine) {
	if machine.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * machine.MemoryMB * bytesInMegabyte))
	}
}
