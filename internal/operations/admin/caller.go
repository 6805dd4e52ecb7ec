package admin

import (
	"container/list"
	"log/slog"
	"net/http"
	"strconv"

	"croftlock/internal/dataplane/netio"
)

// caller is one operator's connection, which carries one call. Its methods run on the event loop.
type caller struct {
	server       *Server
	conn         *netio.Conn
	element      *list.Element // in the server's callers, nil once removed
	timeout      *netio.Timer  // ends the call callTimeout after the connection's start
	sentContinue bool          // whether 100 Continue has been sent
	requestDone  bool          // whether the request is complete, invalid or timed out; later input is discarded
	replied      bool          // whether the answer has been written, or the connection has ended
}

// Data parses what the caller has sent so far, and answers the request once it is complete or
// invalid.
func (c *caller) Data(conn *netio.Conn) {
	if c.requestDone {
		conn.Consume(len(conn.Input())) // a connection carries one call, so what follows is discarded
		return
	}
	if c.element != nil {
		c.server.callers.Touch(c.element)
	}
	r, expectsContinue, fault := parse(conn.Input())
	switch {
	case fault != noFault:
		c.requestDone = true
		c.reply(response{status: int(fault)})
	case r != nil:
		c.requestDone = true
		c.timeout.Stop()
		c.serve(r)
	case expectsContinue && !c.sentContinue:
		c.sentContinue = true
		conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// Writable does nothing, because the connection itself sends what the kernel's buffer did not accept.
func (c *caller) Writable(*netio.Conn) {}

// Closed marks the call as answered, so that reply writes nothing more: the connection has ended.
func (c *caller) Closed(*netio.Conn, *netio.Error) {
	c.replied = true
	c.timeout.Stop()
}

// removeFromServer frees the caller's place at the server. The connection must hold no descriptor any
// more.
func (c *caller) removeFromServer() {
	if c.element != nil {
		c.server.callers.Remove(c.element)
		c.element = nil
	}
}

// timedOut ends a call whose request is not complete: with status 408, or without an answer if the
// caller has sent nothing. It is called callTimeout after the connection's start, or by evict.
func (c *caller) timedOut() {
	if len(c.conn.Input()) == 0 && !c.requestDone {
		c.conn.Close() // the caller has sent nothing, so it gets no answer
		return
	}
	c.requestDone = true
	c.reply(response{status: http.StatusRequestTimeout})
}

// evict ends the call at once to free its place for a new caller. If the caller has sent part of a
// request, evict first writes an answer of status 408.
func (c *caller) evict() {
	if !c.conn.Ended() && len(c.conn.Input()) > 0 {
		c.timedOut()
	}
	c.timeout.Stop()
	c.conn.CloseNow()
	c.removeFromServer()
}

// serve answers a complete request. The answer to a HEAD request has no body.
func (c *caller) serve(r *request) {
	route := r.route()
	isHead := r.method == http.MethodHead
	if allow := route.allowedMethods(); route != routeUnknown && !allow.includes(r.method) {
		c.reply(response{status: http.StatusMethodNotAllowed, allow: allow, omitBody: isHead})
		return
	}
	switch route {
	case routeReady:
		if c.server.proxy.AcceptsClients() {
			c.reply(response{status: http.StatusOK, body: []byte("ready\n"), omitBody: isHead})
			return
		}
		c.reply(response{status: http.StatusServiceUnavailable, body: []byte("not ready\n"), omitBody: isHead})
	case routeMetrics:
		c.reply(response{status: http.StatusOK, body: c.server.proxy.Metrics(), omitBody: isHead})
	case routeSuspend, routeResume:
		c.setSuspended(r.path[2], route == routeSuspend)
	default:
		c.reply(response{status: http.StatusNotFound, omitBody: isHead})
	}
}

// setSuspended suspends a host or, if suspended is false, resumes it. It replies with status 404 at
// once if no endpoint list has named the host, and otherwise with status 200 once the change is stored
// for the next process.
func (c *caller) setSuspended(host string, suspended bool) {
	verb := "resume"
	if suspended {
		verb = "suspend"
	}
	c.server.proxy.SetSuspended(host, suspended, func(known bool) {
		if !known {
			c.reply(response{status: http.StatusNotFound, body: []byte("no list has named this server\n")})
			return
		}
		c.reply(response{status: http.StatusOK, body: []byte(verb + " " + strconv.Quote(host) + "\n")})
	})
}

// reply writes the answer of the call and then closes the connection. Later replies to the same call
// are ignored.
func (c *caller) reply(r response) {
	if c.replied || c.conn.Ended() {
		return
	}
	c.replied = true
	c.timeout.Stop()
	if r.status >= http.StatusBadRequest {
		slog.Debug("admin_call_rejected", "status", r.status)
	}
	c.conn.Write(r.encode())
	c.conn.Finish()
}
