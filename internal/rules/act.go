package rules

// ActBy has a gate act by a version until a time, as a member does that has its right. It is for tests of what judges by a gate.
func ActBy(g *Gate, v *Version, until Time) { g.p.Store(&acting{compile(v), until}) }
