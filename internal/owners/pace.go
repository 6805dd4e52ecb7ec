package owners

// May tells how many of so many clients may be sent away now; then hears.
func (s *Shell) May(want int, then func(n int)) {
	if s == nil || s.pace == nil {
		then(want)
		return
	}
	s.post(func() {
		n := s.pace.May(s.now(), want)
		s.loop.Post(func() { then(n) })
	})
}

// Paced tells whether moves are bounded.
func (s *Shell) Paced() bool { return s != nil && s.pace != nil }

func (s *Shell) askPermits(tag uint64, body []byte) {
	s.tags++
	s.paceTags[s.tags] = tag
	for t := range s.paceTags {
		if t+64 < s.tags {
			delete(s.paceTags, t)
		}
	}
	s.core.Ask(s.now(), "moves", s.tags, body)
}
