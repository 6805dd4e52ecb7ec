package simulator

import (
	"encoding/json"
	"strconv"
)

// reply builds a line of actions, which is written only once it is complete. Its buffer is reused.
type reply struct {
	buf        []byte
	hasActions bool   // it holds an action
	balancer   string // that acts
}

func (w *reply) start() {
	w.buf = append(w.buf[:0], `{"outbox":[`...)
	w.hasActions = false
}

func (w *reply) finish() []byte {
	w.buf = append(w.buf, "]}\n"...)
	return w.buf
}

// begin begins an begin; end ends it.
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

func (w *reply) key(name string) {
	w.buf = append(w.buf, ',', '"')
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, '"', ':')
}

func (w *reply) text(name, value string) *reply {
	w.key(name)
	quoted, _ := json.Marshal(value) // a string always marshals
	w.buf = append(w.buf, quoted...)
	return w
}

func (w *reply) number(name string, value int64) *reply {
	w.key(name)
	w.buf = strconv.AppendInt(w.buf, value, 10)
	return w
}

func (w *reply) flag(name string, value bool) *reply {
	w.key(name)
	w.buf = strconv.AppendBool(w.buf, value)
	return w
}

func (w *reply) end() { w.buf = append(w.buf, '}') }
