package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/fleet/owneragent"
)

// ownerDisk has each fault of a disk happen to each voter during a stream of commands.
func ownerDisk(e *Env, r *Report) error {
	const table = "faults of disks, each at each of three voters, during a stream of commands"
	r.Head(table, "fault", "turns", "commands answered", "lost", "as stated")
	kinds := []struct {
		name string
		does func(path string, copied []byte) error // to the file, while its process is down; nil: no room while it runs
		want string                                 // its phase or what its store says afterwards
	}{
		{"no room, then room again", nil, "member"},
		{"killed at any moment", func(string, []byte) error { return nil }, "member"},
		{"flipped bytes", func(path string, _ []byte) error { return spoil(path, false) }, ""},
		{"torn", func(path string, _ []byte) error { return spoil(path, true) }, "unreadable"},
		{"an older file put back", func(path string, copied []byte) error { return os.WriteFile(path, copied, 0o600) }, "stale"},
		{"lost", func(path string, _ []byte) error { return os.Remove(path) }, "outside"},
	}
	for _, k := range kinds {
		e.Say("%s", k.name)
		answered, lost, wrong := 0, 0, []string(nil)
		type turn struct {
			answered, lost int
			state          string
			err            error
		}
		var turns [3]turn
		var all sync.WaitGroup
		for victim := range turns {
			all.Add(1)
			go func() {
				defer all.Done()
				t := &turns[victim]
				t.answered, t.lost, t.state, t.err = diskTurn(e, victim, k.does)
			}()
		}
		all.Wait()
		for victim, t := range turns {
			a, l, state, err := t.answered, t.lost, t.state, t.err
			if err != nil {
				return fmt.Errorf("%s at n%d: %w", k.name, victim, err)
			}
			answered, lost = answered+a, lost+l
			if k.want != "" && !strings.Contains(state, k.want) || k.want == "" && !strings.Contains(state, "unreadable") && !strings.Contains(state, "member") {
				wrong = append(wrong, fmt.Sprintf("n%d: %s", victim, state))
			}
		}
		r.Row(table, k.name, 3, answered, lost, len(wrong) == 0)
		r.Hold(lost == 0 && answered > 30, k.name+": nothing that was answered is lost", fmt.Sprintf("%d of %d", lost, answered))
		r.Hold(len(wrong) == 0, k.name+": afterwards as stated", strings.Join(wrong, "; "))
	}
	return nil
}

func spoil(path string, tear bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if tear {
		return os.WriteFile(path, data[:len(data)/2], 0o600)
	}
	for i := range data {
		if i%97 == 13 && i > 8192 {
			data[i] ^= 0x5a
		}
	}
	return os.WriteFile(path, data, 0o600)
}

// diskTurn has a stream of commands go on while a voter's disk fails; afterwards what was answered has to be there.
func diskTurn(e *Env, victim int, does func(path string, copied []byte) error) (answered, lost int, state string, err error) {
	rig, err := NewRigWith(e, RigOptions{N: 5, Seed: 5, Key: labKey, Sections: ownersFile(3, true, "(hosts on)")})
	if err != nil {
		return 0, 0, "", err
	}
	defer rig.Close()
	if _, err := rig.AllOwned(1); err != nil {
		return 0, 0, "", err
	}
	stop := make(chan struct{})
	out := make(chan []string)
	var told atomic.Int64
	go func() {
		var done []string
		for i := 0; ; i++ {
			select {
			case <-stop:
				out <- done
				return
			default:
			}
			id := fmt.Sprintf("host%03d", i%200)
			if rep, err := rig.Owners(3+i%2, owneragent.Request{Do: "suspend", A: id}); err == nil && strings.HasPrefix(rep.Answer, "done") {
				done = append(done, id)
				told.Add(1)
			}
		}
	}()
	time.Sleep(time.Second)
	path := filepath.Join(rig.Dir(victim), "voter.db")
	copied, err := os.ReadFile(path)
	if err != nil {
		return 0, 0, "", err
	}
	// Else the copy is none of an older state.
	at := told.Load()
	if _, ok := Until(ownersWait, func() bool { return told.Load() >= at+10 }); !ok {
		return 0, 0, "", errors.New("no command is answered")
	}
	if does == nil {
		full, back := rig.Full(victim)
		if err := full(); err != nil {
			return 0, 0, "", err
		}
		time.Sleep(3 * time.Second)
		if err := back(); err != nil {
			return 0, 0, "", err
		}
	} else {
		rig.Procs[victim].Kill()
		if err := does(path, copied); err != nil {
			return 0, 0, "", err
		}
		if err := rig.Start(victim); err != nil {
			return 0, 0, "", err
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	done := <-out
	if _, err := rig.AllOwned(1); err != nil {
		return 0, 0, "", err
	}
	var list owneragent.Reply
	if _, ok := Until(ownersWait, func() bool {
		list, err = rig.Owners(4, owneragent.Request{Do: "list"})
		return err == nil && strings.HasPrefix(list.Answer, "out for the fleet")
	}); !ok {
		return 0, 0, "", fmt.Errorf("no list: %v %v", list, err)
	}
	have := strings.Fields(list.Answer)
	for _, id := range done {
		if !slices.Contains(have, id) {
			lost++
		}
	}
	rep, err := rig.Owners(victim, owneragent.Request{Do: "status"})
	if err != nil {
		return 0, 0, "", err
	}
	if state = rep.Store; rep.Group != nil {
		state += " " + rep.Group.Phase
	}
	return len(done), lost, state, nil
}
