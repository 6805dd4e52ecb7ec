package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/operations/settings"
)

// ParsePlan parses a plan of faults: S-expressions in the format of simulation.Fault.String, with
// times in milliseconds. processes is the number of processes of the rig. An error contains name
// and the position of the fault.
func ParsePlan(name string, data []byte, processes int) ([]simulation.Fault, error) {
	root, faults := settings.Parse(name, data)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	var plan []simulation.Fault
	for _, line := range root.Values() {
		fault, err := readFault(line, processes)
		if err != nil {
			return nil, fmt.Errorf("%s:%v: %w", name, line.Pos, err)
		}
		plan = append(plan, fault)
	}
	return plan, nil
}

// readFault parses one fault of a plan.
func readFault(line *settings.Node, processes int) (f simulation.Fault, err error) {
	words := line.Values()
	if len(words) == 0 || len(words[0].Values()) > 0 {
		return f, errors.New("expected (KIND (at MS) (for MS) (a N) ...)")
	}
	f.Kind = words[0].Text
	if !simulation.IsFaultKind(f.Kind) {
		return f, fmt.Errorf("unknown fault %q", f.Kind)
	}
	for _, field := range words[1:] {
		if err := readFaultField(&f, field.Values()); err != nil {
			return f, err
		}
	}
	if f.Process >= processes || f.Destination >= processes || f.Amount > 1 {
		return f, fmt.Errorf("process %d and destination %d must be less than %d, and part %g at most 1", f.Process, f.Destination, processes, f.Amount)
	}
	return f, nil
}

// maxPlanNumber is the largest number in a plan; 1e9 ms are about eleven days.
const maxPlanNumber = 1e9

// readFaultField parses one field (NAME NUMBER) of a fault into f.
func readFaultField(f *simulation.Fault, words []*settings.Node) error {
	if len(words) != 2 {
		return errors.New("expected (NAME NUMBER)")
	}
	name := words[0].Text
	number, err := strconv.ParseFloat(words[1].Text, 64)
	if err != nil || number < 0 || number > maxPlanNumber {
		return fmt.Errorf("%s: %q is not a number from 0 to 1e9", name, words[1].Text)
	}
	switch name {
	case "at":
		f.StartMS = int64(number)
	case "for":
		f.DurationMS = int64(number)
	case "a":
		f.Process = int(number)
	case "b":
		f.Destination = int(number)
	case "part":
		f.Amount = number
	default:
		return fmt.Errorf("unknown field %q", name)
	}
	return nil
}

// FormatPlan formats a plan so that ParsePlan can parse it.
func FormatPlan(plan []simulation.Fault) string {
	var b bytes.Buffer
	for _, p := range plan {
		fmt.Fprintln(&b, p)
	}
	return b.String()
}
