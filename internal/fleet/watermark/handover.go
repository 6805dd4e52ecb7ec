package watermark

// Received holds the watermarks that one process of a proxy has received from other members, for the
// process that takes over from it in a hot restart.
type Received struct {
	Source     uint32      `json:"Source"` // of the lists, as Link.Source returns it
	Watermarks []Watermark `json:"Watermarks"`
}

// Received returns the watermarks that are newer than this process's list. It returns nil if there are
// none.
func (l *Link) Received() *Received {
	newer := l.registry.NewerThan(l.Clock.Now(), l.registry.Revision())
	if len(newer) == 0 {
		return nil
	}
	return &Received{Source: l.source, Watermarks: newer}
}

// Restore adds the watermarks that another process of this proxy has received. It ignores those of
// another source, whose revisions are not comparable.
func (l *Link) Restore(received *Received) {
	if received == nil || received.Source != l.source {
		return
	}
	l.notifyChanged(l.registry.Merge(l.Clock.Now(), received.Watermarks))
}
