package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// isolateCPU pins the process to one core and this program to the others, so that the fakes do not
// delay the process. With fewer than three cores it changes nothing and returns false.
func (p *Process) isolateCPU() bool {
	var all unix.CPUSet
	if unix.SchedGetaffinity(0, &all) != nil || all.Count() < 3 {
		return false
	}
	last := 0
	for i := range 1024 {
		if all.IsSet(i) {
			last = i
		}
	}
	var one unix.CPUSet
	one.Set(last)
	all.Clear(last)
	for _, x := range []struct {
		pid int
		set *unix.CPUSet
	}{{p.cmd.Process.Pid, &one}, {os.Getpid(), &all}} {
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", x.pid))
		for _, t := range tasks {
			tid, _ := strconv.Atoi(filepath.Base(t))
			unix.SchedSetaffinity(tid, x.set)
		}
	}
	return true
}

// CPUTime returns the CPU time of all live threads, from the scheduler's counts in nanoseconds;
// /proc/PID/stat has a resolution of only 10 ms.
func (p *Process) CPUTime() time.Duration {
	total := int64(0)
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		if w := strings.Fields(string(data)); len(w) > 0 {
			n, _ := strconv.ParseInt(w[0], 10, 64)
			total += n
		}
	}
	return time.Duration(total)
}

// Memory returns the resident memory in bytes, or 0 if it cannot be read.
func (p *Process) Memory() int64 { return p.statusBytes("VmRSS:") }

// PeakMemory returns the peak of the resident memory in bytes, or 0 if it cannot be read.
func (p *Process) PeakMemory() int64 { return p.statusBytes("VmHWM:") }

// statusBytes returns a value of the process's status, in bytes, or 0 if it cannot be read.
func (p *Process) statusBytes(key string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if words := strings.Fields(line); len(words) == 3 && words[0] == key {
			kib, _ := strconv.ParseInt(words[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// Descriptors returns the number of open file descriptors.
func (p *Process) Descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(list)
}
