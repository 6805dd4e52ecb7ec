package rules

// ActByForTest has an enforcer act by a version until a time, as a member with its lease does. It is for tests of what uses an enforcer.
func ActByForTest(e *Enforcer, v *Version, until Time) {
	e.active.Store(&leasedVersion{compileVersion(v), until})
}
