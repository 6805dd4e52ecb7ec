package owneragent

// RequestMigrations tells how many of so many clients may be sent away now; then hears.
func (s *Agent) RequestMigrations(want int, then func(n int)) {
	if s == nil || s.pace == nil {
		then(want)
		return
	}
	s.post(func() {
		n := s.pace.Allow(s.now(), want)
		s.loop.Post(func() { then(n) })
	})
}

// Paced tells whether moves are bounded.
func (s *Agent) Paced() bool { return s != nil && s.pace != nil }

func (s *Agent) askPermits(tag uint64, body []byte) { s.askAs("moves", s.paceTags, tag, body) }

// askAs asks a job's owner under a tag of this process's own, and notes for which of the asker's it stands.
func (s *Agent) askAs(job string, tags map[uint64]uint64, tag uint64, body []byte) {
	s.tags++
	tags[s.tags] = tag
	for t := range tags {
		if t+64 < s.tags {
			delete(tags, t)
		}
	}
	s.core.Query(s.now(), job, s.tags, body)
}
