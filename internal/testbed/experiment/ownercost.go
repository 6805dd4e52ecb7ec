package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"croftlock/internal/fleet/owneragent"
)

// ownerCost measures the cost of job ownership: the time until a job is acquired after a move or a kill,
// and the CPU time and bytes sent of idle replicas and followers.
func ownerCost(e *Env, r *Report) error {
	r.StartTable(ownerCostTable, "replicas", "store", "requested move to acquisition, median ms", "p99 ms", "owner killed to acquisition, median ms", "max ms",
		"CPU of a core: leader", "replica", "follower", "bytes a second, leader", "follower")
	membership, err := membershipCPU(e)
	if err != nil {
		return err
	}
	r.AddValue("cpu_membership_alone", fmt.Sprintf("%.4f", membership))
	for _, voters := range []int{3, 5} {
		for _, disks := range []bool{true, false} {
			group := ownerGroup{voters, disks}
			if err := group.measure(e, r, membership); err != nil {
				return err
			}
		}
	}
	took, err := measureSyncs(e.Dir)
	if err != nil {
		return err
	}
	r.AddValue("fsync_of_4_KiB_median_ms", fmt.Sprintf("%.2f", took.quantile(0.5)))
	r.AddValue("p99_ms", fmt.Sprintf("%.2f", took.quantile(0.99)))
	return nil
}

const (
	ownerCostTable     = "cost of owners"
	ownerCostProcesses = 6               // processes of a rig, replicas included
	ownerCostDrills    = 6               // drills (jobs for tests alone), besides the job for suspended hosts
	idleDuration       = 8 * time.Second // period over which idle costs are measured
)

// membershipCPU returns the fraction of a core that an idle process with membership but without owners
// uses.
func membershipCPU(e *Env) (float64, error) {
	idle, err := NewRig(e, 5, 1, sealKey)
	if err != nil {
		return 0, err
	}
	defer idle.Close()
	if _, ok := idle.AwaitAllAlive(recoveryTimeout); !ok {
		return 0, fmt.Errorf("not all members are alive after %v", recoveryTimeout)
	}
	time.Sleep(2 * time.Second)
	return measureCPUShares(idle, idleDuration)[4], nil
}

// ownerGroup specifies a group of replicas: their number, and whether their stores are on disk
// (otherwise in memory).
type ownerGroup struct {
	voters int
	disks  bool
}

// newRig starts a rig with the group's replicas. sections is added to the owners section of its
// settings.
func (g ownerGroup) newRig(e *Env, sections string) (*Rig, error) {
	return NewRigWithOptions(e, RigOptions{Processes: ownerCostProcesses, Seed: 3, Key: sealKey, SettingsSections: ownersSection(g.voters, g.disks, sections)})
}

// measure measures a group and adds the result to the report. membership is the fraction of a core that
// an idle process without owners uses.
func (g ownerGroup) measure(e *Env, r *Report, membership float64) error {
	moved, killed, err := g.handoverTimes(e)
	if err != nil {
		return err
	}
	idle, err := g.idleCost(e)
	if err != nil {
		return err
	}
	store := storeName(g.disks)
	r.AddRow(ownerCostTable, g.voters, store, moved.quantile(0.5), moved.quantile(0.99), killed.quantile(0.5), killed.quantile(1),
		fmt.Sprintf("%.4f", idle.leaderCPU), fmt.Sprintf("%.4f", idle.voterCPU), fmt.Sprintf("%.4f", idle.followerCPU), idle.leaderBytes, idle.followerBytes)
	r.Check(idle.voterCPU-membership < 0.005, fmt.Sprintf("%d replicas, %s: an idle replica costs under 0.005 of a core beside membership", g.voters, store),
		fmt.Sprintf("%.4f less %.4f", idle.voterCPU, membership))
	return nil
}

// handoverTimes returns the milliseconds until another process acquires a job: since the request to move
// it, and since its owner was killed.
func (g ownerGroup) handoverTimes(e *Env) (moved, killed samples, err error) {
	rig, err := g.newRig(e, fmt.Sprintf("(drill %d) (hosts on)", ownerCostDrills))
	if err != nil {
		return nil, nil, err
	}
	defer rig.Close()
	owners, err := rig.AwaitJobsOwned(ownerCostDrills + 1)
	if err != nil {
		return nil, nil, err
	}
	if moved, err = moveTimes(rig, owners); err != nil {
		return nil, nil, err
	}
	killed, err = killTimes(rig)
	return moved, killed, err
}

// moveTimes moves jobs between processes and returns the milliseconds of each move, sorted. Moves
// that fail or are rejected are left out. It updates owners.
func moveTimes(rig *Rig, owners map[string]int) (milliseconds samples, err error) {
	for round := range 40 {
		job := fmt.Sprintf("drill%03d", round%ownerCostDrills)
		to := (owners[job] + 1) % ownerCostProcesses
		startedAt := time.Now()
		reply, err := rig.SendOwnerRequest(0, owneragent.Request{Command: "move", Argument: job, SecondArgument: fmt.Sprintf("n%d", to)})
		if err != nil || reply.Error != "" {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		if _, ok := AwaitCondition(10*time.Second, func() bool { return len(rig.acquisitionTimes(to, job, startedAt)) > 0 }); !ok {
			return nil, fmt.Errorf("n%[2]d did not acquire %[1]s within 10 s", job, to)
		}
		milliseconds = append(milliseconds, float64(rig.acquisitionTimes(to, job, startedAt)[0].Sub(startedAt))/1e6)
		owners[job] = to
	}
	slices.Sort(milliseconds)
	return milliseconds, nil
}

// killTimes kills owners and returns, sorted, the milliseconds until another process acquires one job of
// each.
func killTimes(rig *Rig) (milliseconds samples, err error) {
	for round := range 5 {
		owners, err := rig.AwaitJobsOwned(ownerCostDrills + 1)
		if err != nil {
			return nil, err
		}
		job, startedAt := fmt.Sprintf("drill%03d", round), time.Now()
		owner := owners[job]
		rig.Procs[owner].Kill()
		if _, ok := AwaitCondition(20*time.Second, func() bool { return rig.acquiredByOther(owner, job, startedAt) }); !ok {
			return nil, fmt.Errorf("%s has no owner 20 s after n%d was killed", job, owner)
		}
		milliseconds = append(milliseconds, float64(time.Since(startedAt))/1e6)
		if err := rig.Start(owner); err != nil {
			return nil, err
		}
	}
	slices.Sort(milliseconds)
	return milliseconds, nil
}

// acquiredByOther reports whether a process other than owner has acquired a job since a time.
func (r *Rig) acquiredByOther(owner int, job string, from time.Time) bool {
	for i := range r.Procs {
		if i != owner && len(r.acquisitionTimes(i, job, from)) > 0 {
			return true
		}
	}
	return false
}

// idleGroup is the cost of an idle group: CPU time as fractions of a core, and bytes sent a second.
type idleGroup struct {
	leaderCPU, voterCPU, followerCPU float64
	leaderBytes, followerBytes       int
}

// idleCost measures a group with one idle job, so that only the replicas' agreement on the owner and
// the owner's lease cause costs.
func (g ownerGroup) idleCost(e *Env) (idle idleGroup, err error) {
	rig, err := g.newRig(e, "(hosts on)")
	if err != nil {
		return idle, err
	}
	defer rig.Close()
	if _, err := rig.AwaitJobsOwned(1); err != nil {
		return idle, err
	}
	time.Sleep(2 * time.Second)
	reply, err := rig.SendOwnerRequest(0, owneragent.Request{Command: "owners"})
	if err != nil {
		return idle, err
	}
	const follower = ownerCostProcesses - 1
	leader, _ := strconv.Atoi(strings.TrimPrefix(reply.Leader, "n"))
	before := rig.bytesSent()
	cpu := measureCPUShares(rig, idleDuration)
	after := rig.bytesSent()
	perSecond := func(i int) int { return (after[i] - before[i]) / int(idleDuration/time.Second) }
	return idleGroup{leaderCPU: cpu[leader], voterCPU: cpu[(leader+1)%g.voters], followerCPU: cpu[follower],
		leaderBytes: perSecond(leader), followerBytes: perSecond(follower)}, nil
}

// bytesSent returns the bytes that each process has sent to other members, according to its own count.
func (r *Rig) bytesSent() []int {
	sent := make([]int, len(r.Procs))
	for i := range r.Procs {
		report, _ := r.RequestMemberReport(i)
		sent[i] = report.Counts["bytes"]
	}
	return sent
}

// measureCPUShares returns the fraction of a core that each process of a rig uses during a period.
func measureCPUShares(r *Rig, duration time.Duration) []float64 {
	before := make([]time.Duration, len(r.Procs))
	for i, p := range r.Procs {
		before[i] = p.CPUTime()
	}
	time.Sleep(duration)
	shares := make([]float64, len(r.Procs))
	for i, p := range r.Procs {
		shares[i] = float64(p.CPUTime()-before[i]) / float64(duration)
	}
	return shares
}

// measureSyncs returns, sorted, the milliseconds of each of 200 synced writes of 4 KiB, as a reference for
// the speed of the disk.
func measureSyncs(dir string) (milliseconds samples, err error) {
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
		milliseconds = append(milliseconds, float64(time.Since(at))/1e6)
	}
	slices.Sort(milliseconds)
	return milliseconds, nil
}
