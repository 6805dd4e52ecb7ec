package hotrestart

import (
	"testing"

	"croftlock/internal/dataplane/netio"
)

// TestStore checks that Save calls done when the snapshot is on disk, and also after a failed attempt if
// the directory does not exist.
func TestStore(t *testing.T) {
	l := netio.NewLoop()
	go l.Run()
	t.Cleanup(l.Stop)
	for _, dir := range []string{t.TempDir(), "/nowhere/at/all"} {
		done := make(chan bool)
		NewStore(l, dir).Save(sampleSnapshot(), func() { close(done) })
		<-done
		snapshot, err := ReadState(dir, 10)
		if dir[:4] == "/now" && snapshot != nil || dir[:4] != "/now" && (err != nil || snapshot.Revision != 7) {
			t.Errorf("ReadState(%q) = %+v, %v, want revision 7, or nil if the directory cannot be written to", dir, snapshot, err)
		}
	}
}
