package rules

// ActByForTest has an enforcer act by a version until a time, as a member does that has its lease. It is for tests of what judges by an enforcer.
func ActByForTest(g *Enforcer, v *Version, until Time) { g.p.Store(&acting{compile(v), until}) }
