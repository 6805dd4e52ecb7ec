package balancer

// Effects are the actions that a Balancer can take. The caller carries them out in the order of the
// calls.
type Effects interface {
	// StartAttempt starts the next attempt of a request at a host; request and host are IDs. The
	// attempt ends with status Timeout if no answer arrives within the timeout.
	StartAttempt(request, host string, timeout Time)
	// Reject gives a request the final answer that it was not served and that a retry is harmless.
	// If retryAfter is above 0, the client receives it as Retry-After.
	Reject(request string, retryAfter Time)
	// Fail gives a request the final answer that it failed. It does not promise that a retry is
	// harmless.
	Fail(request string)
	// CancelAttempt stops waiting for an attempt of a request. Attempts are counted from 0.
	CancelAttempt(request string, attempt int)
	// Migrate ends an open connection gracefully, so that its client opens it again.
	Migrate(request string)
	// HealthCheck starts a health check of a host, which also requests its load.
	HealthCheck(host string)
	// SendToPeer sends a message to another balancer, or to all others if peer is -1.
	SendToPeer(peer int, data []byte)
	// WatchList subscribes to changes of the endpoint list if on is true, and ends the subscription
	// otherwise.
	WatchList(on bool)
	// FetchList fetches the complete endpoint list once.
	FetchList()
	// Schedule requests one call of TimerFired with the token after the delay.
	Schedule(delay Time, token string)
	// Report passes on an event for the log.
	Report(e Event)
}
