package rules

// SetActiveVersionForTest gives an enforcer a version and a lease that ends at a time, as Member does with a publisher's reply. The tests of
// internal/dataplane/proxy use it: they have an enforcer, and no fleet.
func SetActiveVersionForTest(e *Enforcer, v *Version, leaseEnd Time) {
	e.active.Store(&leasedVersion{compileVersion(v), leaseEnd})
}
