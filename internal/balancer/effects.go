package balancer

// Effects are the actions that a Balancer can take. The caller carries them out in the order of the calls.
type Effects interface {
	// StartAttempt begins the next attempt of a request at a host.
	StartAttempt(request, host string, timeout Time)
	// Reject is a final answer: the request was not done, and a retry is harmless. The client gets retryAfter as
	// its Retry-After, where that is above 0.
	Reject(request string, retryAfter Time)
	// Fail is a final answer that promises nothing.
	Fail(request string)
	// CancelAttempt stops waiting for an attempt, counted from 0.
	CancelAttempt(request string, attempt int)
	// Migrate ends an open connection gracefully; its client opens it again.
	Migrate(request string)
	// HealthCheck polls a host for its load.
	HealthCheck(host string)
	// SendToPeer sends a message to another balancer, or to all where peer is -1.
	SendToPeer(peer int, data []byte)
	// WatchList subscribes to changes of the endpoint list, or ends that.
	WatchList(on bool)
	// FetchList fetches the complete endpoint list once.
	FetchList()
	// Schedule has TimerFired called with the token after the delay.
	Schedule(delay Time, token string)
	// Report gives a fact for the log.
	Report(e Event)
}
