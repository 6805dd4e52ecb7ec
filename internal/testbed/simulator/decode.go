package simulator

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"croftlock/internal/balancer"
)

// attemptStatuses maps the protocol's endings of an attempt or a health check.
var attemptStatuses = map[string]balancer.AttemptStatus{
	"OK": balancer.OK, "INTERNAL": balancer.Error, "RESOURCE_EXHAUSTED": balancer.Full,
	"DEADLINE_EXCEEDED": balancer.Timeout, "UNAVAILABLE": balancer.ConnectFailed, "ABORTED": balancer.Reset,
	"CANCELLED": balancer.Cancelled, "TOO_LATE": balancer.TooLate,
}

// hostStates maps the protocol's states of a listed host.
var hostStates = map[string]balancer.HostState{
	"healthy": balancer.Ready, "cordoned": balancer.Draining, "deregistered": balancer.Removed,
}

// listChanges maps the protocol's forms of an endpoint list.
var listChanges = map[string]balancer.ListChange{
	"update": balancer.ListDelta, "replace": balancer.ListFull, "restored": balancer.ListCached,
	"unavailable": balancer.ListFailed,
}

// missingField returns the error for a message without a required field.
func missingField(m *message, field string) error { return fmt.Errorf("%s without %s", m.Type, field) }

// decode validates a message for a running instance and returns its event.
func (a *Adapter) decode(inst *instance, m *message) (event, error) {
	if err := requireIDs(m); err != nil {
		return nil, err
	}
	switch m.Type {
	case typeListChange:
		return a.decodeList(m)
	case typeRequest, typeAdopted:
		return inst.decodeRequest(m)
	case typeClientLeft:
		return clientLeft{request: m.RequestID}, nil
	case typeHealthCheck, typeAttemptEnded:
		return decodeStatus(m)
	case typeTimer:
		if m.Token == nil {
			return nil, missingField(m, "ref")
		}
		return timerFired{token: *m.Token}, nil
	case typeObservation:
		return observationReceived{request: m.RequestID, attempt: m.Attempt, kind: balancer.Observation(m.Kind), value: m.Value}, nil
	case typeEstablished:
		return attemptEstablished{request: m.RequestID, attempt: m.Attempt, elapsed: m.Elapsed}, nil
	case typePeerMessage:
		data, err := base64.StdEncoding.DecodeString(m.Contents)
		if err != nil {
			return nil, fmt.Errorf("message Memo with contents that are not base64: %v", err)
		}
		return peerMessage{from: m.Peer, data: data}, nil
	}
	return nil, fmt.Errorf("unknown event %q", m.Type)
}

// requireIDs returns an error if a message lacks the request ID or the host that its type requires.
func requireIDs(m *message) error {
	switch m.Type {
	case typeRequest, typeClientLeft, typeAdopted, typeObservation, typeAttemptEnded, typeEstablished:
		if m.RequestID == "" {
			return missingField(m, "request_id")
		}
	}
	switch m.Type {
	case typeHealthCheck, typeAdopted, typeAttemptEnded, typeEstablished:
		if m.Host == "" {
			return missingField(m, "server")
		}
	}
	return nil
}

// decodeList decodes a change of the endpoint list, and resolves the list's number to the stored hosts.
// A failed list has no hosts.
func (a *Adapter) decodeList(m *message) (event, error) {
	change, ok := listChanges[m.Change]
	if !ok {
		return nil, fmt.Errorf("message Membership with form %q, which is unknown", m.Change)
	}
	e := listReceived{change: change}
	if change == balancer.ListFailed {
		return e, nil
	}
	if m.ListNumber == nil {
		return nil, missingField(m, "sheet")
	}
	if e.hosts, ok = a.hostLists[*m.ListNumber]; !ok {
		return nil, fmt.Errorf("message Membership names sheet %d, which was not sent", *m.ListNumber)
	}
	return e, nil
}

// decodeStatus decodes the end of a health check or of an attempt.
func decodeStatus(m *message) (event, error) {
	status, ok := attemptStatuses[m.Status]
	if !ok {
		return nil, fmt.Errorf("%s with ending %q, which is unknown", m.Type, m.Status)
	}
	if m.Type == typeHealthCheck {
		return healthCheckEnded{host: m.Host, status: status, load: m.Load}, nil
	}
	return attemptEnded{request: m.RequestID, attempt: m.Attempt, status: status, elapsed: m.Elapsed,
		closed: m.Closed, load: m.Load}, nil
}

// decodeRequest decodes a new request, or a connection that is already open at a host.
func (inst *instance) decodeRequest(m *message) (event, error) {
	r := balancer.Request{ID: m.RequestID, Key: m.Key, Group: m.Group, Tenant: inst.tenantIndex(m.Tenant),
		Retry: m.Flags&flagRetry != 0, MidFlow: m.Flags&flagMidFlow != 0, Returned: m.Flags&flagReturned != 0}
	if m.Class == nil {
		return nil, missingField(m, "cls")
	}
	class, ok := inst.classes[*m.Class]
	if !ok {
		return nil, fmt.Errorf("%s of class %q, which the settings do not name", m.Type, *m.Class)
	}
	r.Class = class
	if m.Remaining != nil {
		r.Remaining = *m.Remaining
	} else if m.Type == typeRequest {
		return nil, missingField(m, "remaining")
	}
	if m.Flags&flagHint != 0 {
		r.ExpectedLoad = m.Hint
	}
	if m.Type == typeAdopted {
		return connectionAdopted{request: r, host: m.Host}, nil
	}
	return requestArrived{request: r}, nil
}

// tenantIndex returns the index of the tenant that a message names. It returns -1 if the message names
// none, or one that is not in the settings.
func (inst *instance) tenantIndex(raw json.RawMessage) int {
	var name string
	if len(raw) == 0 || json.Unmarshal(raw, &name) != nil {
		return -1
	}
	if t, ok := inst.tenants[name]; ok {
		return t
	}
	return -1
}
