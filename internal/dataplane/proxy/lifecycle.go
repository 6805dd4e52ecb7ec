// Package proxy is the core between clients and upstream hosts. It owns each request on both sides,
// applies the rules that hold for every protocol, and is the only caller of the decision module,
// the code that chooses a host for each request. The packages that implement the interfaces in
// interfaces.go know the protocols of clients and upstream hosts.
//
// All code of this package runs on the event loop, one event after the other.
//
// # Checks on a request
//
// A request passes these checks in order, from its first line to its answer:
//
//  1. Core.Admit: capacity, in file descriptors, of the two processes that a proxy has during a hot
//     restart. If none is left, the request is rejected.
//  2. Core.validate: the settings name the class and tenant, and the ID is neither in use nor that of an
//     ended request that must not run again. Otherwise the request fails. An ID that may run again under
//     conditions carries the earlier run to steps 7, 8, 10 and 11 (Request.proceedAfterEarlierRun).
//  3. Core.Open: a process that is shutting down rejects the request.
//  4. Core.applyRules and Core.choosePlacement: the rules on which all proxies (the fleet) agree reject
//     the request, or name its account and the pools, subsets of the hosts, that it may use. If none of
//     these pools has a usable host, the request is rejected.
//  5. Core.answerTimeout: the request's deadline, which its class limits. If the decision module has not
//     answered overdueGrace after the deadline, Request.failUnresponsive fails the request.
//  6. Core.acquireQuota: the account's quota over all proxies. If none is left, the request is rejected.
//  7. Balancer.RequestArrived: the decision module queues, paces, rejects or places the request. Its
//     effects, the actions that it requests, arrive in effects.go.
//  8. Core.startAttempt, for each attempt: the limit of attempts, then invariant.Request.CheckAttempt,
//     which forbids attempts past the deadline, at unusable hosts, or as an unsafe retry.
//  9. Core.recheckRules: the fleet's rules again, since they may have changed.
//  10. upstreamRequest.startRetryWindowTimer and upstreamRequest.MaySend: a retry is written only within
//     its dedup window, and nothing is written to a host that has become unusable in the meantime
//     (invariant.Request.CheckWrite).
//  11. Request.rejectOrFail: a request that gets no further attempt is rejected only if
//     invariant.Request.MayReject reports that a retry by the client is harmless. Otherwise it fails.
//
// # Adopted requests
//
// A request whose connection is open at a host already (Opening.StickyHost) is handled by
// Request.adopt. The checks differ as follows:
//
//   - 4: only Core.applyRules runs; its verdict is logged and ignored.
//   - 5: the class does not limit a deadline that the client gives, and Request.failUnresponsive does
//     not apply.
//   - 6, 7 and 9 are skipped.
//   - 8: only CheckAttempt runs, without the limit of attempts.
//   - 8 and 10: the host need not be usable.
//   - 11: applies only in a shutdown. Otherwise, a request whose attempts fail is not rejected but fails
//     (Request.fail).
//
// # Open connections
//
// An open connection ends when either side ends it, or is migrated:
//
//   - as the decision module decides (effects.Migrate)
//   - off a silent host (Core.checkUnanswered)
//   - off a suspended host (Core.migrateOffHost) or before a certificate expires (Core.migrateExpiring),
//     both at the rate that applies to all proxies together (migrationPacer)
//   - in a shutdown, which shutdown.go describes
package proxy
