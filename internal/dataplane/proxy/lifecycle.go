// Package proxy is the core between clients and upstream hosts. It owns each request on both sides, applies the rules that hold whatever
// the protocol, and is the only caller of the decision module. What a client or an upstream host speaks is known to the packages that
// implement the interfaces in interfaces.go.
//
// Everything here runs on the loop, one event after the other.
//
// # The rules that a request meets
//
// In order, from its first line to its answer, each with its function.
//
//  1. Core.Admit: capacity, in descriptors, of the two processes of this proxy together. None left: rejected.
//  2. Core.validate: its class and tenant are in the settings and its ID is not in use. Else it fails.
//  3. Core.Open: a process that shuts down rejects it.
//  4. Core.applyRules and Core.choosePlacement: the fleet's rules reject it, or name its account and the pools it may use; it is rejected where
//     none of these has a usable host.
//  5. Core.answerTimeout: its deadline, which its class bounds. An answer that the decision module does not give by then is given by
//     Request.failUnresponsive, overdueGrace later.
//  6. Core.acquireQuota: its account's quota over all proxies. None left: rejected.
//  7. Balancer.RequestArrived: the decision module queues, paces, rejects or places it. Its effects arrive in effects.go.
//  8. Core.startAttempt, for each attempt: the limit of attempts, then invariant.Request.CheckAttempt: nothing past the deadline, to
//     unusable hosts, or as an unsafe retry.
//  9. Core.recheckRules: the fleet's rules again, since they may have changed.
//  10. upstreamRequest.startRetryWindowTimer and upstreamRequest.MaySend: a retry is written within its dedup window or not at all, and nothing to
//     a host that has become unusable meanwhile (invariant.Request.CheckWrite).
//  11. Request.rejectOrFail: the final answer of a request that gets no attempt any more is a rejection only where
//     invariant.Request.MayReject says that a retry by the client is harmless.
//
// A request that is open at a host already (Opening.StickyHost) goes by Request.adopt. It skips 6, 7 and 9. Of 4 only Core.applyRules runs, whose
// verdict is logged and ignored. Of 5 its class does not bound the deadline that it names, and Request.failUnresponsive does not apply. Of 8
// only CheckAttempt runs, without the limit of attempts; in 8 and 10 its host need not be usable. Where its attempts fail it fails
// (Request.fail); 11 applies in a shutdown only.
//
// Open connections end by either side's end, or are migrated: at the decision module's wish (effects.Migrate), off silent hosts
// (Core.checkUnanswered), at the fleet's pace (migrationPacer) off suspended hosts (Core.migrateOffHost) and before certificates end
// (Core.migrateExpiring), and in a shutdown, which shutdown.go describes.
package proxy
