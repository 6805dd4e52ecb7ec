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

// isolateCPU gives the process a core of its own and this program the others, so that the fakes do not delay the process. It returns false,
// and changes nothing, where there are fewer than three cores.
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

// CPUTime is the time that all threads have run, by the scheduler's count in nanoseconds: that in /proc/PID/stat has hundredths of a second.
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

// Memory is the resident memory of the process, in bytes.
func (p *Process) Memory() int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, l := range strings.Split(string(data), "\n") {
		if w := strings.Fields(l); len(w) == 3 && w[0] == "VmRSS:" {
			n, _ := strconv.ParseInt(w[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// Descriptors is the number of open file descriptors of the process.
func (p *Process) Descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(list)
}
