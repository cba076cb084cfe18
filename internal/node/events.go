package node

// The numbers of log events; docs/OPERATIONS.md lists them with their fields. A number is never used for another event.
const (
	eventStarted      = 100
	eventStopping     = 101
	eventStopped      = 102
	eventReloaded     = 103
	eventLost         = 104 // eventLost and eventBack tell of a dependency that does not answer and of its return.
	eventBack         = 105
	eventSuspended    = 106
	eventServed       = 200
	eventFailed       = 201
	eventAttempt      = 202 // eventAttempt tells of an attempt after which the request was sent once more.
	eventWait         = 203 // eventWait tells that a request waits for a load, and the forecast on which that was decided.
	eventConfig       = 300
	eventSkipped      = 301
	eventUpstream     = 302
	eventUpstreamGone = 303
	eventMember       = 304
	eventSource       = 305 // eventSource tells whether the host reads the store itself or depends on a hub.
	eventLease        = 400
	eventLeaseLost    = 401
	eventOrder        = 402
	eventReport       = 403
	eventLoaded       = 404
)
