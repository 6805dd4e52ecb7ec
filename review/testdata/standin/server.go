package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// attempt is a first line that a catalogue server has read.
type attempt struct {
	id, tenant, server string
	at                 time.Time
	second             string // the server at which an earlier attempt of the same id was out; "" if none
	answered           string
}

// servers is a set of catalogue servers that share one book of attempts.
type servers struct {
	rec     *record
	mu      sync.Mutex
	all     []*attempt
	out     map[string][]*attempt // attempts that are out or connections that stand, by id
	entries []entry
}

// newServers starts one catalogue server for each uid, on free loopback ports.
func newServers(rec *record, uids ...string) (*servers, error) {
	s := &servers{rec: rec, out: map[string][]*attempt{}}
	for _, uid := range uids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, entry{UID: uid, Endpoint: l.Addr().String(), Zone: "pokhara", Model: "type-a", State: "up", Weight: 1})
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(uid, c)
			}
		}()
	}
	return s, nil
}

// serve reads a first line, answers it with UP, and answers each further line at once, until either side ends the connection.
func (s *servers) serve(uid string, c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4096)
	line, err := in.ReadString('\n')
	if err != nil {
		return // an attempt counts once its last byte has come
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "OPEN" || !strings.HasSuffix(line, "\r\n") {
		s.rec.add("server %s SYNTAX %q", uid, line)
		fmt.Fprint(c, "SYNTAX\r\n")
		return
	}
	a := s.begin(uid, words[1], field(words[3], "t"))
	defer s.end(a)
	a.answered = fmt.Sprintf("UP %s-%s", uid, words[1])
	fmt.Fprintf(c, "%s\r\n", a.answered)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(c, "GOT %s %s", uid, line); err != nil {
			return
		}
	}
}

// field returns the value of a name in the list of a first line.
func field(pairs, name string) string {
	for _, p := range strings.Split(pairs, ",") {
		if k, v, _ := strings.Cut(p, "="); k == name {
			return v
		}
	}
	return ""
}

// begin books an attempt.
func (s *servers) begin(uid, id, tenant string) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &attempt{id: id, tenant: tenant, server: uid, at: time.Now()}
	if earlier := s.out[id]; len(earlier) > 0 {
		a.second = earlier[0].server
	}
	s.out[id] = append(s.out[id], a)
	s.all = append(s.all, a)
	s.rec.add("server %s got OPEN id=%s t=%s earlier_one_out_at=%q", uid, id, tenant, a.second)
	return a
}

// end books the end of an attempt's connection.
func (s *servers) end(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.out[a.id][:0]
	for _, other := range s.out[a.id] {
		if other != a {
			kept = append(kept, other)
		}
	}
	s.out[a.id] = kept
	s.rec.add("server %s end of id=%s", a.server, a.id)
}

// attempts returns a copy of the book.
func (s *servers) attempts() []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []attempt
	for _, a := range s.all {
		all = append(all, *a)
	}
	return all
}
