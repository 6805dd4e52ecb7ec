package command

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

const (
	returnPause = 200 * time.Millisecond // until a client that left comes back with its ID
	keyWindow   = 1500 * time.Millisecond
)

// usedIDTest is a proxy with classes of all kinds of idempotency.
type usedIDTest struct {
	*hotRestartTest
	hosts *fake.Hosts
}

// newUsedIDTest starts the hosts. Requests of class order are not idempotent, and those of class pay by a key
// for keyWindow.
func newUsedIDTest(t *testing.T) *usedIDTest {
	h := newHotRestartTest(t)
	hosts := newHosts(t, "a", "s0", "s1")
	h.setup.Discovery, h.setup.InitialList = hosts.Discovery.Addr(), hosts.Discovery.List()
	h.setup.Classes = []experiment.Class{
		{Name: "lab", Deadline: h.setup.Deadline, Idempotency: experiment.Idempotent},
		{Name: "order", Deadline: h.setup.Deadline, Idempotency: experiment.NonIdempotent},
		{Name: "pay", Deadline: h.setup.Deadline, Idempotency: experiment.IdempotentByKey, Window: keyWindow},
	}
	return &usedIDTest{h, hosts}
}

// send sends a request with an ID of a class on a connection.
func (u *usedIDTest) send(conn net.Conn, class, id string) {
	u.Helper()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "OPEN %s %s c=%s,d=4000\r\n", id, fake.NewID(), class); err != nil {
		u.Fatal(err)
	}
}

// request sends a request on a new connection and returns the kind of the answer, "" if there is none.
func (u *usedIDTest) request(class, id string) string {
	u.Helper()
	conn := u.dial()
	u.send(conn, class, id)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	kind, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	conn.Close()
	return kind
}

// leave sends a request on conn and leaves: while the attempt is out, or after UP.
func (u *usedIDTest) leave(conn net.Conn, class, id string, afterUp bool) {
	u.Helper()
	u.send(conn, class, id)
	if afterUp {
		bufio.NewReader(conn).ReadString('\n')
	} else {
		time.Sleep(returnPause / 2)
	}
	conn.Close()
}

// delayAnswers sets the delay of the hosts' answers.
func (u *usedIDTest) delayAnswers(d time.Duration) {
	for _, server := range u.hosts.Servers {
		server.AnswerDelay.Store(int64(d))
	}
}

// runs returns how often the hosts received an ID.
func (u *usedIDTest) runs(id string) (n int) {
	for _, server := range u.hosts.Servers {
		n += server.RequestCount(id)
	}
	return n
}

// expect checks the answer to a request that comes again, and how often the hosts have received it then.
func (u *usedIDTest) expect(where, class, id, wantAnswer string, wantRuns int) {
	u.Helper()
	answer := u.request(class, id)
	time.Sleep(returnPause) // for an attempt that was cancelled, and runs
	if runs := u.runs(id); answer != wantAnswer || runs != wantRuns {
		u.Errorf("%s, class %s: a request that comes again is answered with %q and received %d times; want %q and %d", where, class, answer, runs, wantAnswer, wantRuns)
	}
}

// TestReturningClientRunsOnce guards against a repeated side effect: a client that left comes back with its
// ID, while its attempt is out or after UP.
func TestReturningClientRunsOnce(t *testing.T) {
	u := newUsedIDTest(t)
	u.startReady()
	u.delayAnswers(returnPause)
	for _, afterUp := range []bool{false, true} {
		where := fmt.Sprintf("after UP %t", afterUp)
		order, pay, lab := fake.NewID(), fake.NewID(), fake.NewID()
		u.leave(u.dial(), "order", order, afterUp)
		u.leave(u.dial(), "lab", lab, afterUp)
		u.leave(u.dial(), "pay", pay, afterUp)
		time.Sleep(returnPause)
		u.expect(where+", in the window", "pay", pay, "UP", 2)
		u.expect(where, "order", order, "ERR", 1)
		u.expect(where, "lab", lab, "UP", 2)
		time.Sleep(keyWindow)
		u.expect(where+", after the window", "pay", pay, "BUSY", 2)
	}
}

// TestReturningClientInHotRestart guards against a repeated side effect at the other process of a hot
// restart: of an ID that was used before it, at either process meanwhile, and at a process that was killed.
func TestReturningClientInHotRestart(t *testing.T) {
	u := newUsedIDTest(t)
	old, _ := u.startReady()
	before, kept, pending, lost, atNew := fake.NewID(), fake.NewID(), fake.NewID(), fake.NewID(), fake.NewID()
	u.leave(u.dial(), "order", before, true)
	u.send(u.dial(), "order", kept)
	u.delayAnswers(3 * time.Second)
	waiting, acceptedByOld := u.dial(), u.dial()
	u.send(waiting, "order", pending)
	u.send(u.dial(), "order", lost)
	time.Sleep(returnPause) // until the old process has accepted all
	u.startReady()
	u.delayAnswers(0)
	u.expect("used before the hot restart", "order", before, "ERR", 1)
	waiting.Close()
	time.Sleep(returnPause)
	if answer := u.request("order", pending); answer != "ERR" {
		t.Errorf("a request whose client left at the old process is answered with %q at the new one, want ERR", answer)
	}
	u.leave(u.dial(), "order", atNew, true)
	time.Sleep(returnPause)
	u.send(acceptedByOld, "order", atNew)
	if line, _ := bufio.NewReader(acceptedByOld).ReadString('\n'); line != "ERR\r\n" {
		t.Errorf("a request that ran at the new process is answered with %q at the old one, want ERR", line)
	}
	old.Kill()
	time.Sleep(returnPause)
	for _, id := range []string{lost, kept} {
		if answer := u.request("order", id); answer != "ERR" {
			t.Errorf("a request that was open at a killed process is answered with %q, want ERR", answer)
		}
	}
	time.Sleep(3 * time.Second) // until the hosts have counted the delayed requests
	for _, id := range []string{before, kept, pending, lost, atNew} {
		if runs := u.runs(id); runs != 1 {
			t.Errorf("the hosts received a request %d times, want 1", runs)
		}
	}
}
