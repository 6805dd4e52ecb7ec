package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"croftlock/internal/fleet/owneragent"
)

// ownerCost measures what owners cost: grants and changes, an idle voter's and a follower's CPU, bytes.
func ownerCost(e *Env, r *Report) error {
	const table = "what owners cost"
	r.Head(table, "voters", "store", "handover asked for to begun, median ms", "p99 ms", "owner killed to begun, median ms", "worst ms", "CPU of a core: leader", "voter", "follower", "bytes a second, leader", "follower")
	idle, err := NewRig(e, 5, 1, labKey)
	if err != nil {
		return err
	}
	if _, ok := idle.Whole(ownersWait); !ok {
		return errors.New("not whole")
	}
	time.Sleep(2 * time.Second)
	alone := cpuOf(idle, 8*time.Second)
	idle.Close()
	r.Set("cpu_membership_alone", fmt.Sprintf("%.4f", alone[4]))
	for _, voters := range []int{3, 5} {
		for _, disks := range []bool{true, false} {
			if err := ownersCost(e, r, table, voters, disks, alone); err != nil {
				return err
			}
		}
	}
	took, err := rawSyncs(e.Dir)
	if err != nil {
		return err
	}
	r.Set("fsync_of_4_KiB_median_ms", fmt.Sprintf("%.2f", took.quantile(0.5)))
	r.Set("p99_ms", fmt.Sprintf("%.2f", took.quantile(0.99)))
	return nil
}

func ownersCost(e *Env, r *Report, table string, voters int, disks bool, alone []float64) error {
	rig, err := NewRigWith(e, RigOptions{N: 6, Seed: 3, Key: labKey, Sections: ownersFile(voters, disks, "(drill 6) (hosts on)")})
	if err != nil {
		return err
	}
	defer rig.Close()
	who, err := rig.AllOwned(7)
	if err != nil {
		return err
	}
	var moved, killed series
	for turn := range 40 {
		job := fmt.Sprintf("drill%03d", turn%6)
		to := (who[job] + 1) % 6
		began := time.Now()
		rep, err := rig.Owners(0, owneragent.Request{Do: "move", A: job, B: fmt.Sprintf("n%d", to)})
		if err != nil || rep.Error != "" {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		if _, ok := Until(10*time.Second, func() bool { return len(rig.since(to, job, began)) > 0 }); !ok {
			return fmt.Errorf("%s is not begun at n%d", job, to)
		}
		moved = append(moved, float64(rig.since(to, job, began)[0].Sub(began))/1e6)
		who[job] = to
	}
	for turn := range 5 {
		if who, err = rig.AllOwned(7); err != nil {
			return err
		}
		job, began := fmt.Sprintf("drill%03d", turn), time.Now()
		i := who[job]
		rig.Procs[i].Kill()
		if _, ok := Until(20*time.Second, func() bool {
			for j := range 6 {
				if j != i && len(rig.since(j, job, began)) > 0 {
					return true
				}
			}
			return false
		}); !ok {
			return fmt.Errorf("%s has no owner 20 s after n%d was killed", job, i)
		}
		killed = append(killed, float64(time.Since(began))/1e6)
		if err := rig.Start(i); err != nil {
			return err
		}
	}
	rig.Close()
	// Idle: one job that does nothing, so that what is measured is the group and the leases.
	rig, err = NewRigWith(e, RigOptions{N: 6, Seed: 3, Key: labKey, Sections: ownersFile(voters, disks, "(hosts on)")})
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, err := rig.AllOwned(1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	bytes := func() (b []int) {
		for i := range 6 {
			rep, _ := rig.Ask(i)
			b = append(b, rep.Counts["bytes"])
		}
		return b
	}
	rep, err := rig.Owners(0, owneragent.Request{Do: "owners"})
	if err != nil {
		return err
	}
	leader, _ := strconv.Atoi(strings.TrimPrefix(rep.Leader, "n"))
	before := bytes()
	cpu := cpuOf(rig, 8*time.Second)
	after := bytes()
	voter := (leader + 1) % voters
	slices.Sort(moved)
	slices.Sort(killed)
	store := "memory"
	if disks {
		store = "disk"
	}
	r.Row(table, voters, store, moved.quantile(0.5), moved.quantile(0.99), killed.quantile(0.5), killed.quantile(1), fmt.Sprintf("%.4f", cpu[leader]), fmt.Sprintf("%.4f", cpu[voter]), fmt.Sprintf("%.4f", cpu[5]),
		(after[leader]-before[leader])/8, (after[5]-before[5])/8)
	r.Hold(cpu[voter]-alone[4] < 0.005, fmt.Sprintf("%d voters, %s: an idle voter costs under 0.005 of a core beside membership", voters, store), fmt.Sprintf("%.4f less %.4f", cpu[voter], alone[4]))
	return nil
}

// since are the times at which a process began a job after one.
func (r *Rig) since(i int, job string, at time.Time) (out []time.Time) {
	for _, l := range r.Procs[i].Log("event=job_acquired ") {
		if t := logTime(l); field(l, "job") == job && !t.Before(at.Truncate(time.Millisecond)) {
			out = append(out, t)
		}
	}
	return out
}

func cpuOf(r *Rig, lasts time.Duration) []float64 {
	before := make([]time.Duration, len(r.Procs))
	for i, p := range r.Procs {
		before[i] = p.CPU()
	}
	time.Sleep(lasts)
	out := make([]float64, len(r.Procs))
	for i, p := range r.Procs {
		out[i] = float64(p.CPU()-before[i]) / float64(lasts)
	}
	return out
}

func rawSyncs(dir string) (took series, err error) {
	f, err := os.Create(filepath.Join(dir, "raw"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for range 200 {
		at := time.Now()
		if _, err := f.Write(make([]byte, 4096)); err != nil {
			return nil, err
		}
		if err := f.Sync(); err != nil {
			return nil, err
		}
		took = append(took, float64(time.Since(at))/1e6)
	}
	slices.Sort(took)
	return took, nil
}
