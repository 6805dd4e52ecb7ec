package platform

import "reflect"

// Reload reads the configuration file again for a process that runs with the configuration old.
// NODE_DISCOVERY does not override the file here: a process's environment does not change, and would
// hide a new discovery address in the file. unapplied names the fields that differ from old but take
// effect only at the next start.
func Reload(env func(string) string, old *Config) (c *Config, unapplied []string, err error) {
	c, err = Load(func(name string) string {
		if name == "NODE_DISCOVERY" {
			return ""
		}
		return env(name)
	})
	if err != nil {
		return nil, nil, err
	}
	for _, v := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == old.Name},
		{"listen", c.Listen == old.Listen},
		{"admin_addr", c.Admin == old.Admin},
		{"limits", c.Limits == old.Limits},
		{"settings", reflect.DeepEqual(c.Settings, old.Settings) && c.DelayInLoad == old.DelayInLoad},
	} {
		if !v.same {
			unapplied = append(unapplied, v.name)
		}
	}
	return c, unapplied, nil
}
