// Program stage2 holds the stand-ins and the cases of the second review: a discovery, catalogue servers and
// clients that follow PROTOCOL, and one function for each case. A case's run.sh starts it from the project's
// root. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stage is one run of a case: what it started, and its record.
type stage struct {
	root, dir string // the project's root, and a private folder that is removed at the end
	trouble   bool   // false for a run without the disruption
	startedAt time.Time

	mu      sync.Mutex
	record  *bufio.Writer
	procs   []*process
	closers []func()
	ports   int // ports tried so far
}

// fatal ends the run because the case could not be played.
type fatal struct{ reason string }

func (s *stage) cannotRun(format string, args ...any) { panic(fatal{fmt.Sprintf(format, args...)}) }

// since returns the seconds from the start of the run to t.
func (s *stage) since(t time.Time) float64 { return t.Sub(s.startedAt).Seconds() }

// note writes a line to record.txt, with the time.
func (s *stage) note(format string, args ...any) {
	s.noteAt(time.Now(), format, args...)
}

func (s *stage) noteAt(t time.Time, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f %s\n", s.since(t), fmt.Sprintf(format, args...))
}

// say writes a line to record.txt and to standard output.
func (s *stage) say(format string, args ...any) {
	s.note(format, args...)
	fmt.Printf("%9.3f %s\n", s.since(time.Now()), fmt.Sprintf(format, args...))
}

// port returns a port that is free now, below those that the system gives to outgoing connections. Runs side by side draw from ranges
// of their own.
func (s *stage) port() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ; s.ports < 200; s.ports++ {
		port := 12000 + os.Getpid()%200*100 + s.ports
		if s.ports >= 100 {
			port = 12000 + rand.IntN(20000)
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		c, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		c.Close()
		s.ports++
		return port
	}
	panic(fatal{"no free port"})
}

// freeAddr returns a loopback address whose port is free.
func (s *stage) freeAddr() string { return fmt.Sprintf("127.0.0.1:%d", s.port()) }

// until sleeps until d after the start of the run.
func (s *stage) until(d time.Duration) { time.Sleep(time.Until(s.startedAt.Add(d))) }

// onEnd registers f to be called at the end of the run.
func (s *stage) onEnd(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, f)
}

// end ends everything that the run started, and closes the record.
func (s *stage) end() {
	s.mu.Lock()
	procs, closers := s.procs, s.closers
	s.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Kill()
	}
	for _, p := range procs {
		select {
		case <-p.ended:
		case <-time.After(2 * time.Second):
		}
	}
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Flush()
	os.RemoveAll(s.dir)
}

// main plays the case that the first argument names, and writes the record to the folder that the second one names.
func main() {
	cases := map[string]func(*stage) bool{}
	for name, f := range allCases {
		cases[name] = f
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE FOLDER, from the project's root; cases:", strings.Join(names, " "))
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case and returns the exit status.
func play(f func(*stage) bool, folder string) (status int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "stage2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &stage{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), record: bufio.NewWriter(out)}
	defer s.end()
	defer func() {
		if p := recover(); p != nil {
			reason, ok := p.(fatal)
			if !ok {
				s.say("PANIC %v", p)
			} else {
				s.say("cannot run: %s", reason.reason)
			}
			status = 2
		}
	}()
	go func() { // no run takes longer than 120 s, or outlasts a signal
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(112 * time.Second):
		}
		s.say("cannot run: the time is up, or a signal came")
		s.end()
		os.Exit(2)
	}()
	s.say("trouble=%t", s.trouble)
	if f(s) {
		s.say("BROKEN")
		return 1
	}
	s.say("HELD")
	return 0
}
