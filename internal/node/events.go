package node

// Numbers of the log events; docs/OPERATIONS.md lists them with their fields. A number is never reused for another event.
const (
	eventStarted        = 100
	eventStopping       = 101
	eventStopped        = 102
	eventReloaded       = 103
	eventDependencyLost = 104 // A dependency stopped answering.
	eventDependencyBack = 105 // A dependency answers again.
	eventSuspended      = 106
	eventServed         = 200
	eventFailed         = 201
	eventAttemptFailed  = 202 // An attempt failed and the request is sent again.
	eventWaiting        = 203 // A request waits for a load; the event has the forecast behind that decision.
	eventBroken         = 204 // The connection of an attempt ended before its response did.
	eventSilent         = 205 // The upstream of a resumable stream is silent.
	eventPanic          = 206 // The handler of a request panicked.
	eventClientRefused  = 207 // A client's connection was refused or interrupted because of a limit.
	eventConfig         = 300
	eventSkipped        = 301
	eventUpstream       = 302
	eventUpstreamGone   = 303
	eventMemberFound    = 304
	eventSource         = 305 // The host now reads the store itself, or relies on a hub.
	eventOldUpdates     = 306 // The list or the configuration of this host is older than its limit, or no longer.
	eventReturned       = 307 // The store came back from a copy.
	eventConfigOlder    = 309 // The store, or another host, has an older configuration than the one in force.
	eventSaidLeaving    = 310 // An upstream said in an answer that it leaves.
	eventPause          = 311 // An upstream answered that it wants no requests for a while.
	eventLeavingLearned = 312 // Another host reported upstreams that said that they leave.
	eventLimit          = 313 // An upstream named a limit for its requests in an answer.
	eventLimitEnded     = 314 // An upstream that had named a limit answered without one.
	eventLimitsLearned  = 315 // Another host reported what it learned about limits of upstreams.
	eventLease          = 400
	eventLeaseLost      = 401
	eventOrder          = 402
	eventReport         = 403
	eventLoaded         = 404
	eventLeaseAppend    = 405 // The log refused a lease record because it ends elsewhere.
	eventLeaseOlder     = 406 // A lease record was ignored because a later one is known.
	eventFenceRefused   = 407
	eventLeaseWaiting   = 408 // This host does not take the free lease yet, because it gave orders shortly before.
	eventCrash          = 500 // An upstream ended as it began to answer a request.
	eventCrashLearned   = 501 // Another host sent evidence of such crashes.
	eventTrial          = 502 // A request is sent although requests with its parts crashed upstreams.
	eventConvicted      = 503 // Requests with all of some parts are refused.
	eventRepeatRefused  = 504 // A request is refused because its repeats crashed upstreams.
	eventTeamLimit      = 600 // Requests of a team were refused because of its rate limit.
	eventLending        = 601 // The controller has heard from enough hosts to lend credit of teams.
	eventHandOver       = 602 // The controller passed on what it lent to its successor.
)
