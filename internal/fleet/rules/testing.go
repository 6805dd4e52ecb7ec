package rules

// SetActiveVersionForTest sets the active version of an enforcer and the end of its lease, as
// Member does with a publisher's reply. The tests of internal/dataplane/proxy use it, since they
// have an enforcer but no fleet.
func SetActiveVersionForTest(e *Enforcer, v *Version, leaseEnd Time) {
	e.active.Store(&leasedVersion{compileVersion(v), leaseEnd})
}
