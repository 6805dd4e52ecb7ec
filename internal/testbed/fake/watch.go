package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxHoldMS is the longest time in milliseconds that a query may ask discovery to wait for a
// change.
const maxHoldMS = 60000

// watchQuery is a query for the complete list, or a watch on the changes since a revision.
type watchQuery struct {
	from   int64 // revision after which changes are returned; negative for the complete list
	holdMS int64 // how long to wait for a change, in milliseconds; zero means not to wait
}

// errBadQuery reports a parameter that is not a number or is out of range.
var errBadQuery = errors.New("from or hold_ms is not a number or out of range")

// decodeQuery decodes the parameters from and hold_ms. Without from it returns a query for the
// complete list.
func decodeQuery(q url.Values) (w watchQuery, err error) {
	w.from = completeList
	if !q.Has("from") {
		return w, nil
	}
	if w.from, err = strconv.ParseInt(q.Get("from"), 10, 64); err != nil {
		return w, errBadQuery
	}
	if q.Has("hold_ms") {
		if w.holdMS, err = strconv.ParseInt(q.Get("hold_ms"), 10, 64); err != nil || w.holdMS < 0 || w.holdMS > maxHoldMS {
			return w, errBadQuery
		}
	}
	return w, nil
}

// ServeHTTP answers GET /discovery/hosts, both queries for the complete list and watches.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	d.calls++
	down, delay := d.down, d.delay
	d.mu.Unlock()
	time.Sleep(delay)
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	q, err := decodeQuery(r.URL.Query())
	if err != nil {
		http.Error(w, fmt.Sprint("invalid query: ", r.URL.RawQuery), http.StatusBadRequest)
		return
	}
	d.watch(w, r, q)
}

// watch answers a query for the complete list at once. It answers a watch as soon as there is a
// change after the query's revision, or with an empty list of changes once the query's hold time
// has passed.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request, q watchQuery) {
	end := time.NewTimer(time.Duration(q.holdMS) * time.Millisecond)
	defer end.Stop()
	for expired := q.holdMS == 0; ; {
		d.mu.Lock()
		list, nextChange, down := d.listSince(q.from), d.nextChange, d.down
		d.mu.Unlock()
		if silence := d.silenceEndChan(); silence != nil {
			<-silence
			panic(http.ErrAbortHandler)
		}
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if q.from < 0 || list.Rev > q.from || expired {
			d.write(w, r, list)
			return
		}
		select {
		case <-nextChange:
		case <-r.Context().Done():
			return
		case <-end.C:
			expired = true
		}
	}
}

// write answers with a list and then passes it to onWritten, unless the caller has closed the
// connection.
func (d *Discovery) write(w http.ResponseWriter, r *http.Request, list List) {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // a List can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
	http.NewResponseController(w).Flush()
	d.mu.Lock()
	onWritten := d.onWritten
	d.mu.Unlock()
	if onWritten != nil && r.Context().Err() == nil {
		onWritten(list)
	}
}
