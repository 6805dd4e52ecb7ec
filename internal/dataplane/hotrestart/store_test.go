package hotrestart

import (
	"testing"

	"croftlock/internal/dataplane/netio"
)

// Save reports once the snapshot is on disk, and a folder that cannot be written to holds nobody up.
func TestStore(t *testing.T) {
	l := netio.NewLoop()
	go l.Run()
	t.Cleanup(l.Stop)
	for _, dir := range []string{t.TempDir(), "/nowhere/at/all"} {
		done := make(chan bool)
		NewStore(l, dir).Save(sampleSnapshot(), func() { close(done) })
		<-done
		k, err := ReadState(dir, 10)
		if dir[:4] == "/now" && k != nil || dir[:4] != "/now" && (err != nil || k.Revision != 7) {
			t.Errorf("%s: %+v, %v", dir, k, err)
		}
	}
}
