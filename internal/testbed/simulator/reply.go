package simulator

import (
	"encoding/json"
	"strconv"
)

// reply builds one line of actions. Its buffer is reused, so the line is valid until the next start.
type reply struct {
	buf        []byte
	hasActions bool   // whether the line holds an action
	balancer   string // name of the balancer whose actions follow
}

// start begins a new line and discards the last one.
func (w *reply) start() {
	w.buf = append(w.buf[:0], `{"outbox":[`...)
	w.hasActions = false
}

// finish ends the line and returns it.
func (w *reply) finish() []byte {
	w.buf = append(w.buf, "]}\n"...)
	return w.buf
}

// begin begins an action of w.balancer. The caller adds the action's fields and calls end.
func (w *reply) begin(name string) *reply {
	if w.hasActions {
		w.buf = append(w.buf, ',')
	}
	w.hasActions = true
	w.buf = append(w.buf, `{"event_type":"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, '"')
	return w.text("balancer", w.balancer)
}

// key begins a field of the current action. The caller adds its value.
func (w *reply) key(name string) {
	w.buf = append(w.buf, ',', '"')
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, '"', ':')
}

// text adds a string field to the current action.
func (w *reply) text(name, value string) *reply {
	w.key(name)
	quoted, _ := json.Marshal(value) // a string always marshals
	w.buf = append(w.buf, quoted...)
	return w
}

// number adds an integer field to the current action.
func (w *reply) number(name string, value int64) *reply {
	w.key(name)
	w.buf = strconv.AppendInt(w.buf, value, 10)
	return w
}

// flag adds a bool field to the current action.
func (w *reply) flag(name string, value bool) *reply {
	w.key(name)
	w.buf = strconv.AppendBool(w.buf, value)
	return w
}

// end ends the current action.
func (w *reply) end() { w.buf = append(w.buf, '}') }
