/*
 * One task, two endpoints, and a leader; in runs-takeover.pml two leaders in turn, of
 * which the first does not know at once that it has been replaced. An endpoint may
 * restart under its ID and then knows no run, token, stop or completion of before, and
 * its clock and the numbers of its completions begin anew. Starts, stops, renewals and
 * their answers are delayed, lost or overtake each other, and may be carried out by a
 * later incarnation: they name an endpoint by its ID alone.
 *
 * Checked: no two runs of the task at once; no start after a run has ended as done, if
 * that completion is acknowledged before or after the start and no lease has expired in
 * between; with one leader, no completion as done is acknowledged before it is stored.
 *
 * Time is abstract. A lease expires on an endpoint at any time, and a leader takes it for
 * expired only after that: which leases its bound covers is modelled, its arithmetic is
 * not. An order is on its way for less than a lease. The former leader is confirmed until
 * any time after the takeover and sends nothing afterwards; the new one counts inherited
 * leases as over only then.
 *
 * Excluded events, each with a file that shows what it leads to:
 * - An acknowledgement that was sent before the leader had a sign of a restart is carried
 *   out by the next incarnation (runs-broken-ack-in-flight.pml).
 * - A start is carried out although the endpoint has accepted a stop of its run and
 *   reported since: it was overtaken, and the endpoint restarted; and the task's next run
 *   starts before the leader knows of that (runs-broken-late-start.pml).
 * - A start of the former leader is carried out by an incarnation that began after the
 *   new leader had reached an earlier one (runs-broken-former-leader.pml).
 *
 * Also excluded: renewals that are carried out after the leader has given them up, orders
 * that are carried out twice, and a second restart. An idle endpoint is renewed only if
 * its report would tell something.
 *
 * Each BROKEN_ macro disables one rule; see the files runs-broken-*.pml. The rules are
 * those of internal/fleet/{endpointstate,renewal,reply}.go.
 */
#ifndef LIFETIMES
#define LIFETIMES 2
#endif
#ifndef FIRST_RUNS
#define FIRST_RUNS 2      /* that the first leader may start */
#endif
#ifndef SECOND_RUNS
#define SECOND_RUNS 0     /* and the second one */
#endif
#ifndef RESTARTS
#define RESTARTS 1        /* of all endpoints */
#endif
#if SECOND_RUNS > 0
#define LEADERS 2
#else
#define LEADERS 1
#endif
#define VIEWS (2 * LEADERS)
#define RUNS (FIRST_RUNS + SECOND_RUNS)

#define LEADER_OF(r) ((r) > FIRST_RUNS)
#define AT(l, e) ((l) * 2 + (e))
#define SNAPSHOT(i, r) ((i) * RUNS + (r) - 1)

/* The endpoints. */
bit up[2] = 1;
byte life[2] = 1;
byte restarts;
bit seenToken[2];          /* the newest leader that has called */
bit newLeaderCalled[2];    /* the new leader has called, also an earlier incarnation */
byte highestEnded[2];      /* highest run that was stopped or ended here */
byte running[2];           /* the task's run, or 0 */
bit lease[2];
bit foreignLease[2];       /* an order for an earlier incarnation may have set the lease */
byte completionCount[2];
byte completion[RUNS + 1]; /* number of a run's unacknowledged completion, or 0 */

/* What has happened to the runs. */
byte runEndpoint[RUNS + 1];
byte runLife[RUNS + 1];    /* the incarnation for which the run was ordered */
bit done[RUNS + 1];
bit leaseExpired[RUNS + 1]; /* between the completion and its acknowledgement */
bit startedAfter[RUNS + 1]; /* the task has started after the completion */
bit acknowledged;

/* The store. */
bit storedDone;

/* The leaders. */
#define IDLE 0
#define STARTING 1
#define LIVE 2
#define UNCONFIRMED 3
#define STOPPING 4
bit leads[LEADERS];
bit takenOver;             /* the second leader has the claim */
byte lastRun[LEADERS];
bit knowsDone[LEADERS];
byte tracked[LEADERS];           /* the run that is tracked, or 0 */
byte state[LEADERS];
byte answered[LEADERS];          /* 1 if the start has an answer, 2 if before the renewal was sent */
bit wasUnconfirmed[LEADERS];
byte stopAccepted[LEADERS];      /* likewise, of the stop */
bit answeredBeforeList[LEADERS];
byte lateRun[LEADERS];           /* given up after a stop, its start may come late, or 0 */

/* A leader's view of an endpoint. */
byte knownLife[VIEWS] = 1;
bit reached[VIEWS];
bit suspected[VIEWS];
bit unresponsive[VIEWS];
bit gone[VIEWS];
byte lastRead[VIEWS];
bit inheritedOver[2];

/* Orders. */
bit queued[RUNS + 1];
bit start[RUNS + 1];       /* on its way to the endpoint */
bit barred[RUNS + 1];      /* was on its way when the incarnation ended that had accepted a stop of it */
bit waiting[RUNS + 1];     /* the leader waits for the answer */
#define ACCEPTED 1
#define STALE 2
#define REFUSED 3
byte startReply[RUNS + 1];
byte stop[LEADERS];              /* 1 on its way, 2 accepted */
byte stopRun[LEADERS];
byte stopLife[LEADERS];

/* Renewals; a report is a snapshot. */
byte renewal[VIEWS];           /* 1 on its way, 2 answered */
byte renewalAck[VIEWS];
bit renewalLease[VIEWS];
byte renewalLife[VIEWS];
bit renewalInformed[VIEWS];    /* the leader had a sign of a restart */
byte reportLife[VIEWS];
byte reportRunning[VIEWS];
byte reportCompletion[VIEWS * RUNS];

/* The host list lacks the endpoint; the leader has not applied it yet. */
bit hostList[VIEWS];

hidden byte n, m;          /* used within one step */

inline forget_run(leader) {
	tracked[leader] = 0;
	state[leader] = IDLE;
	answered[leader] = 0;
	wasUnconfirmed[leader] = 0;
	stopAccepted[leader] = 0;
	answeredBeforeList[leader] = 0
}

inline clear_renewal(view) {
	renewal[view] = 0;
	renewalAck[view] = 0;
	renewalLease[view] = 0;
	renewalLife[view] = 0;
	renewalInformed[view] = 0;
	reportLife[view] = 0;
	reportRunning[view] = 0;
	n = 1;
	do
	:: n > RUNS -> break
	:: else -> reportCompletion[SNAPSHOT(view, n)] = 0; n++
	od
}

inline clear_stop(leader) { stop[leader] = 0; stopRun[leader] = 0; stopLife[leader] = 0 }

#define HAS_COMPLETION(r, e) (completion[r] != 0 && runEndpoint[r] == e)

/* ends a leader's term: its orders stay on their way, answers to it are dropped */
inline end_term(leader) {
	leads[leader] = 0;
	forget_run(leader);
	clear_stop(leader);
	n = 1;
	do
	:: n > RUNS -> break
	:: else ->
		if
		:: LEADER_OF(n) == leader -> queued[n] = 0; waiting[n] = 0; startReply[n] = 0
		:: else
		fi;
		n++
	od;
	clear_view(AT(leader, 0));
	clear_view(AT(leader, 1))
}

inline clear_view(view) {
	clear_renewal(view);
	knownLife[view] = 1;
	reached[view] = 0;
	suspected[view] = 0;
	unresponsive[view] = 0;
	gone[view] = 0;
	lastRead[view] = 0;
	hostList[view] = 0
}

/* drops what a former leader without further runs and without a queued start knows */
inline retire() {
	if
	:: takenOver && FIRST_RUNS == 1 && !queued[1] ->
		forget_run(0);
		clear_stop(0);
		waiting[1] = 0;
		startReply[1] = 0;
		retire_view(0);
		retire_view(1)
	:: else
	fi
}

inline retire_view(view) {
	if
	:: renewal[view] != 1 || renewalAck[view] == 0 -> clear_renewal(view)
	:: else
	fi;
	knownLife[view] = 1;
	reached[view] = 0;
	suspected[view] = 0;
	unresponsive[view] = 0;
	gone[view] = 0;
	lastRead[view] = 0;
	hostList[view] = 0
}

inline suspect(view) { suspected[view] = 1; reached[view] = 0 }

inline ordered_stop(leader) {
	if
	:: state[leader] != STOPPING -> state[leader] = STOPPING
	:: else
	fi
}

/* the endpoint's run ends; isDone if as done */
inline end_run(at, isDone) {
	m = running[at];
	running[at] = 0;
	done[m] = isDone;
	highestEnded[at] = (m > highestEnded[at] -> m : highestEnded[at]);
	completionCount[at]++;
	completion[m] = completionCount[at]
}

inline called(at, leader) {
	seenToken[at] = (leader > seenToken[at] -> leader : seenToken[at]);
	newLeaderCalled[at] = (newLeaderCalled[at] || leader == 1)
}

/* drops the starts of a leader that are on their way to the endpoint */
inline drop_starts(leader) {
	n = 1;
	do
	:: n > RUNS -> break
	:: else ->
		if
		:: start[n] && runEndpoint[n] == e && LEADER_OF(n) == leader -> start[n] = 0
		:: else
		fi;
		n++
	od
}

#if defined(BROKEN_FOREIGN_LEASE) || defined(BROKEN_UNLISTED_RESTART)
#define IS_FOREIGN(number, at) (number != life[at])
#else
#define IS_FOREIGN(number, at) false
#endif

/* the endpoint carries out the start of r */
inline begin_run(at, number) {
	assert(running[0] == 0 && running[1] == 0);
	assert(!acknowledged);
	n = 1;
	do
	:: n > RUNS -> break
	:: else ->
		if
		:: completion[n] != 0 && done[n] && !leaseExpired[n] -> startedAfter[n] = 1
		:: else
		fi;
		n++
	od;
	running[at] = number;
	lease[at] = 1;
	foreignLease[at] = (foreignLease[at] || IS_FOREIGN(runLife[number], at))
}

/* a lease is of no interest once the endpoint has neither a run nor a completion */
inline clear_lease(at) {
	if
	:: running[at] == 0 && !HAS_COMPLETION(1, at) && !HAS_COMPLETION(2, at) && !HAS_COMPLETION(RUNS, at) ->
		lease[at] = 0;
		foreignLease[at] = 0
	:: else
	fi
}

#ifdef BROKEN_END
#define CHECK_REACHED assert(!takenOver || restarts < RESTARTS)
#else
#define CHECK_REACHED skip
#endif

#ifdef BROKEN_ACK_IN_FLIGHT
#define ACK_COUNTS true
#else
#define ACK_COUNTS (renewalLife[i] == life[e] || renewalInformed[i])
#endif

inline acknowledge(number) {
	n = 1;
	do
	:: n > RUNS -> break
	:: else ->
		if
		:: runEndpoint[n] == e && completion[n] != 0 && completion[n] <= number && (ACK_COUNTS || LEADER_OF(n) > l) ->
			assert(!done[n] || storedDone);
			if
			:: done[n] && !leaseExpired[n] -> assert(!startedAfter[n]); acknowledged = 1; CHECK_REACHED
			:: else
			fi;
			completion[n] = 0;
			leaseExpired[n] = 0
		:: else
		fi;
		n++
	od;
	clear_lease(e)
}

#ifdef BROKEN_LATE_FORGOTTEN
#define IS_LATE_FORGOTTEN true
#else
#define IS_LATE_FORGOTTEN false
#endif

#ifdef BROKEN_LOST_AT_RESTART
#define RUN_LOST_AT_RESTART true
#else
#define RUN_LOST_AT_RESTART false
#endif

/* a report of another incarnation than the known one */
inline new_incarnation() {
	knownLife[i] = reportLife[i];
	lastRead[i] = 0;
	gone[i] = 0;
	if
	:: lateRun[l] != 0 && runEndpoint[lateRun[l]] == e && tracked[l] == 0 && !IS_LATE_FORGOTTEN ->
		tracked[l] = lateRun[l];
		state[l] = STOPPING;
		wasUnconfirmed[l] = 1;
		lateRun[l] = 0
	:: else
	fi;
	if
	:: tracked[l] != 0 && runEndpoint[tracked[l]] == e ->
		stopAccepted[l] = 0;
		if
		:: RUN_LOST_AT_RESTART -> forget_run(l)
		:: else
		fi
	:: else
	fi
}

#ifdef BROKEN_EARLIER_REPORT
#define IS_OTHER_LIFE (reportLife[i] > knownLife[i])
#define LIST_DECIDES knownLife[i] = life[e]; lastRead[i] = 0
#else
#define LIST_DECIDES skip
#define IS_OTHER_LIFE (reportLife[i] != knownLife[i])
#endif

/* the endpoint has accepted a stop of the run and has reported since */
#ifdef BROKEN_LATE_START
#define IS_BARRED(r, l) false
#else
#define IS_BARRED(r, l) (r <= highestEnded[e] && (tracked[l] != r || renewal[AT(l, e)] == 2 && stopAccepted[l] == 2))
#endif

#ifdef BROKEN_FORMER_LEADER
#define START_IS_FENCED(l) (l < seenToken[e])
#else
#define START_IS_FENCED(l) (l < newLeaderCalled[e])
#endif

/* the next incarnation, of which the leader does not know yet, may carry the start out */
#define MAY_BE_RUNNING_LATE(r) (barred[r] && (!up[runEndpoint[r]] || knownLife[AT(l, runEndpoint[r])] != life[runEndpoint[r]]))

/* the task has not started again yet */
#define MAY_COME_LATE(r, l) (LEADERS == 1 && tracked[l] == 0 && lateRun[l] == r && lastRun[l] == r)

#ifdef BROKEN_MISSING
#define MISSING_SINCE 1
#else
#define MISSING_SINCE 2
#endif

inline handle_report() {
	if
	:: IS_OTHER_LIFE -> new_incarnation()
	:: else
	fi;
	suspected[i] = 0;
	reached[i] = 1;
	unresponsive[i] = 0;
	gone[i] = 0;
	hostList[i] = 0;
	m = 1;
	n = lastRead[i];
	do
	:: m > RUNS -> break
	:: else ->
		if
		:: reportCompletion[SNAPSHOT(i, m)] > lastRead[i] ->
			n = (reportCompletion[SNAPSHOT(i, m)] > n -> reportCompletion[SNAPSHOT(i, m)] : n);
			if
			:: tracked[l] == m -> forget_run(l)
			:: else
			fi;
			if
			:: done[m] -> knowsDone[l] = 1
			:: else
			fi
		:: else
		fi;
		m++
	od;
	lastRead[i] = n;
	if
	:: knowsDone[l] && tracked[l] != 0 -> ordered_stop(l)
	:: else
	fi;
	if
	:: reportRunning[i] != 0 && tracked[l] == reportRunning[i] ->
		if
		:: state[l] == STARTING || state[l] == UNCONFIRMED -> state[l] = LIVE; answered[l] = 1
		:: else
		fi
	:: reportRunning[i] != 0 && tracked[l] == 0 ->
		/* A run of an earlier leader, or one that was started late. */
		tracked[l] = reportRunning[i];
		state[l] = (knowsDone[l] -> STOPPING : LIVE);
		answered[l] = 1
	:: reportRunning[i] == 0 && tracked[l] != 0 && runEndpoint[tracked[l]] == e ->
		if
		:: state[l] == LIVE && answered[l] >= MISSING_SINCE -> forget_run(l)
		:: state[l] == UNCONFIRMED && answered[l] == 2 -> ordered_stop(l)
		:: state[l] == STOPPING && (!wasUnconfirmed[l] && answered[l] == 2 || stopAccepted[l] == 2) ->
			lateRun[l] = (wasUnconfirmed[l] -> tracked[l] : 0);
			forget_run(l)
		:: else
		fi
	:: else
	fi;
	clear_renewal(i)
}

#ifdef BROKEN_ACK
#define MAY_ACK true
#else
#define MAY_ACK (!suspected[i])
#endif

#ifdef BROKEN_FORMER_ACK
#define RENEWAL_IS_FENCED false
#else
#define RENEWAL_IS_FENCED (l < seenToken[e])
#endif

#ifdef BROKEN_GONE_KNOWN
#define IS_GONE(e) gone[AT(1, e)]
#else
#define IS_GONE(e) false
#endif

#ifdef BROKEN_TAKEOVER
#define RUNS_KNOWN(e) true
#else
#define RUNS_KNOWN(e) (reached[AT(1, e)] || inheritedOver[e] || IS_GONE(e))
#endif
#define ALL_RUNS_KNOWN (l == 0 || RUNS_KNOWN(0) && RUNS_KNOWN(1))

#ifdef BROKEN_UNCONFIRMED_START
#define START_IS_CURRENT true
#else
#define START_IS_CURRENT (tracked[l] == r && state[l] == STARTING && reached[i] && !gone[i] && runLife[r] == knownLife[i])
#endif

#ifdef BROKEN_STOP
#define STOP_COUNTS true
#else
#define STOP_COUNTS (stopLife[l] == knownLife[AT(l, e)])
#endif

#ifdef BROKEN_FOREIGN_LEASE
#define LEASE_OVER (!lease[e] || foreignLease[e])
#else
#ifdef BROKEN_UNLISTED_RESTART
#define LEASE_OVER (!lease[e] || foreignLease[e] && !suspected[i] && knownLife[i] != life[e])
#else
#define LEASE_OVER (!lease[e])
#endif
#endif

#ifdef BROKEN_GONE
#define ENDED_WHEN_GONE true
#else
#define ENDED_WHEN_GONE answeredBeforeList[l]
#endif

#ifdef BROKEN_GONE_UNCONFIRMED
#define ANSWER_IS_KNOWN true
#else
#define ANSWER_IS_KNOWN (state[l] == LIVE || !wasUnconfirmed[l])
#endif

/* nothing is left that could break a property */
#define MAY_START(l, last) (leads[l] && lastRun[l] != last)
#if LEADERS == 1
#define MAY_BE_READ(r) (running[0] == r || running[1] == r || completion[r] != 0 && done[r] && !storedDone)
#else
#define FORMER_ACKS(e) (renewal[AT(0, e)] == 1 && renewalAck[AT(0, e)] != 0)
#define MAY_BE_READ(r) (LEADER_OF(r) == 1 && (running[0] == r || running[1] == r || completion[r] != 0 && done[r] && !storedDone) && \
	(FORMER_ACKS(0) || FORMER_ACKS(1)))
#endif
#define IN_FLIGHT(r) (queued[r] || start[r] || startedAfter[r] || MAY_BE_READ(r))
#define FINISHED (!MAY_START(0, FIRST_RUNS) && (SECOND_RUNS == 0 || takenOver && !MAY_START(LEADERS - 1, RUNS)) && !IN_FLIGHT(1) && !IN_FLIGHT(2) && !IN_FLIGHT(RUNS))

#define IS_AT(l, e) (tracked[l] != 0 && runEndpoint[tracked[l]] == e)

/*
 * A former leader that has no further run to start is left with those of its orders that
 * are queued or on their way.
 */
#define IS_ACTIVE(l) (leads[l] && (l == 1 || !takenOver || FIRST_RUNS > 1))

/* a report would tell the leader something; others are left out */
#define HAS_NEWS (!reached[i] || unresponsive[i] || running[e] != 0 || IS_AT(l, e) || knownLife[i] != life[e] || \
	HAS_COMPLETION(1, e) || HAS_COMPLETION(2, e) || HAS_COMPLETION(RUNS, e))

/* A leader's dealings with an endpoint. */
proctype View(byte l; byte e; byte i) provided (!FINISHED) {
end:
	do
	/* starts the task */
	:: d_step {
		leads[l] && tracked[l] == 0 && !MAY_BE_RUNNING_LATE(1) && !knowsDone[l] && reached[i] && !unresponsive[i] && !gone[i] && ALL_RUNS_KNOWN &&
		lastRun[l] < (l == 0 -> FIRST_RUNS : RUNS) && (l == 1 || lastRun[0] > 0 || e == 0) ->
		lastRun[l] = ((l == 1 && lastRun[l] == 0) -> FIRST_RUNS + 1 : lastRun[l] + 1);
		tracked[l] = lastRun[l];
		state[l] = STARTING;
		runEndpoint[lastRun[l]] = e;
		runLife[lastRun[l]] = knownLife[i];
		queued[lastRun[l]] = 1;
		lateRun[l] = 0
	}
	/* sends a renewal */
	:: d_step {
		IS_ACTIVE(l) && renewal[i] == 0 && HAS_NEWS ->
		renewal[i] = 1;
		renewalAck[i] = ((MAY_ACK && (!knowsDone[l] || storedDone)) -> lastRead[i] : 0);
		renewalLease[i] = (IS_FOREIGN(0, e) && reached[i] && !unresponsive[i] && IS_AT(l, e));
		renewalLife[i] = ((renewalAck[i] != 0 || renewalLease[i]) -> knownLife[i] : 0);
		renewalInformed[i] = (renewalAck[i] != 0 && suspected[i]);
		if
		:: IS_AT(l, e) ->
			answered[l] = (answered[l] != 0 -> 2 : 0);
			stopAccepted[l] = (stopAccepted[l] != 0 -> 2 : 0)
		:: else
		fi
	}
	/* the endpoint carries out the renewal and makes a report */
	:: d_step {
		renewal[i] == 1 && up[e] ->
		if
		:: RENEWAL_IS_FENCED -> end_term(l)
		:: else ->
			called(e, l);
			acknowledge(renewalAck[i]);
			if
			:: renewalLease[i] && lease[e] -> foreignLease[e] = (foreignLease[e] || IS_FOREIGN(renewalLife[i], e))
			:: else
			fi;
			renewal[i] = 2;
			renewalAck[i] = 0;
			renewalLease[i] = 0;
			renewalLife[i] = 0;
			renewalInformed[i] = 0;
			reportLife[i] = life[e];
			reportRunning[i] = running[e];
			n = 1;
			do
			:: n > RUNS -> break
			:: else ->
				reportCompletion[SNAPSHOT(i, n)] = ((runEndpoint[n] == e && (completion[n] > lastRead[i] || life[e] != knownLife[i])) -> completion[n] : 0);
				n++
			od
		fi;
		n = 0
	}
	/* gets the report */
	:: d_step { IS_ACTIVE(l) && renewal[i] == 2 -> handle_report(); n = 0 }
	/* gets no answer to the renewal */
	:: d_step { renewal[i] != 0 -> clear_renewal(i); unresponsive[i] = IS_AT(l, e) }
	/* takes the lease of an endpoint that does not answer for expired */
	:: d_step {
		IS_ACTIVE(l) && unresponsive[i] && IS_AT(l, e) && LEASE_OVER && (l == 0 || !leads[0]) ->
		drop_starts(0);
		drop_starts(l);
		forget_run(l)
	}
	/* the platform's list shows a restart that is not known yet */
	:: d_step { IS_ACTIVE(l) && knownLife[i] != life[e] && !suspected[i] -> suspect(i); LIST_DECIDES }
	/* the host list is read while the endpoint is down */
	:: d_step {
		IS_ACTIVE(l) && !up[e] && !hostList[i] && !gone[i] && (l == 1 || IS_AT(l, e)) ->
		hostList[i] = 1;
		answeredBeforeList[l] = (IS_AT(l, e) -> answered[l] != 0 && ANSWER_IS_KNOWN : answeredBeforeList[l])
	}
	/* applies the host list, or a refusal, and takes the endpoint for gone */
	:: d_step {
		hostList[i] ->
		hostList[i] = 0;
		gone[i] = 1;
		reached[i] = 0;
		if
		:: IS_AT(l, e) && ENDED_WHEN_GONE -> forget_run(l)
		:: else
		fi
	}
	od
}

/* The order to start a run. */
proctype Start(byte r; byte l) provided (!FINISHED) {
#define e runEndpoint[r]
#define i AT(l, runEndpoint[r])
end:
	do
	/* the leader sends the queued start, or withdraws it */
	:: d_step {
		queued[r] && leads[l] ->
		queued[r] = 0;
		if
		:: START_IS_CURRENT -> start[r] = 1; waiting[r] = 1
		:: else ->
			runLife[r] = 0;
			if
			:: tracked[l] == r -> forget_run(l)
			:: else
			fi
		fi;
		retire();
		n = 0
	}
	/* the endpoint carries it out */
	:: d_step {
		start[r] && up[e] ->
		start[r] = 0;
		if
		:: START_IS_FENCED(l) ->
			if
			:: leads[l] && waiting[r] -> end_term(l)
			:: else
			fi
		:: else ->
			called(e, l);
			if
			:: r <= highestEnded[e] -> startReply[r] = (waiting[r] -> STALE : 0)
			:: else -> begin_run(e, r); startReply[r] = (waiting[r] -> ACCEPTED : 0)
			fi
		fi;
		runLife[r] = 0
	}
	/* the endpoint has no room, or is unhealthy */
	:: d_step {
		start[r] && up[e] && !START_IS_FENCED(l) ->
		start[r] = 0;
		called(e, l);
		startReply[r] = (waiting[r] -> REFUSED : 0);
		runLife[r] = 0
	}
	/* it is lost */
	:: d_step { start[r] -> start[r] = 0; runLife[r] = 0 }
	/* the leader gets the answer */
	:: d_step {
		startReply[r] != 0 ->
		if
		:: startReply[r] == ACCEPTED && tracked[l] == r ->
			state[l] = ((state[l] == STARTING || state[l] == UNCONFIRMED) -> LIVE : state[l]);
			answered[l] = 1
		:: startReply[r] == ACCEPTED && tracked[l] != r -> suspect(i)
		:: startReply[r] == STALE && tracked[l] == r -> ordered_stop(l); stopAccepted[l] = 1
		:: startReply[r] == REFUSED && tracked[l] == r -> forget_run(l)
		:: else
		fi;
		startReply[r] = 0;
		waiting[r] = 0
	}
	/* the leader waits no longer for an answer; the order may still be carried out */
	:: d_step {
		waiting[r] ->
		waiting[r] = 0;
		startReply[r] = 0;
		if
		:: tracked[l] == r && state[l] == STARTING -> state[l] = UNCONFIRMED; answered[l] = 1; wasUnconfirmed[l] = 1
		:: else
		fi
	}
	od
#undef e
#undef i
}

/* A leader's stops, one at a time, and its place. */
proctype Leader(byte l) provided (!FINISHED) {
#define e runEndpoint[stopRun[l]]
end:
	do
	/* sends a stop */
	:: d_step {
		IS_ACTIVE(l) && tracked[l] != 0 && state[l] == STOPPING && stop[l] == 0 ->
		stop[l] = 1;
		stopRun[l] = tracked[l];
		stopLife[l] = knownLife[AT(l, runEndpoint[tracked[l]])]
	}
	/* the endpoint carries it out */
	:: d_step {
		stop[l] == 1 && up[e] ->
		if
		:: l < seenToken[e] -> end_term(l)
		:: else ->
			called(e, l);
			stop[l] = 2;
			if
			:: running[e] == stopRun[l] -> end_run(e, 0)
			:: else
			fi;
			highestEnded[e] = (stopRun[l] > highestEnded[e] -> stopRun[l] : highestEnded[e])
		fi
	}
	/* gets the answer */
	:: d_step {
		stop[l] == 2 ->
		if
		:: tracked[l] == stopRun[l] && STOP_COUNTS -> stopAccepted[l] = 1
		:: else
		fi;
		clear_stop(l)
	}
	/* the stop or its answer is lost */
	:: d_step { stop[l] != 0 -> clear_stop(l) }
	/* writes the progress, unless the claim has changed */
	:: d_step { leads[l] && knowsDone[l] && !storedDone && (l == 1 || !takenOver) -> storedDone = 1 }
	/* takes over, and reads the progress */
	:: d_step { l == 1 && SECOND_RUNS > 0 && !takenOver -> takenOver = 1; leads[1] = 1; knowsDone[1] = storedDone; retire(); n = 0 }
	/* is no longer confirmed */
	:: d_step { l == 0 && takenOver && leads[0] -> end_term(0); n = 0 }
	od
#undef e
}

proctype Endpoint(byte e) provided (!FINISHED) {
end:
	do
	/* the run ends as done, or otherwise */
	:: d_step { running[e] != 0 -> end_run(e, 1) }
	:: d_step { running[e] != 0 -> end_run(e, 0) }
	/* the lease expires */
	:: d_step {
		lease[e] ->
		lease[e] = 0;
		foreignLease[e] = 0;
		if
		:: running[e] != 0 -> end_run(e, 0)
		:: else
		fi;
		n = 1;
		do
		:: n > RUNS -> break
		:: else ->
			if
			:: completion[n] != 0 && runEndpoint[n] == e -> leaseExpired[n] = 1; startedAfter[n] = 0
			:: else
			fi;
			n++
		od;
		n = 0
	}
#if LEADERS == 2
	/* the new leader takes the leases of the former one for expired */
	:: d_step {
		leads[1] && !leads[0] && !lease[e] && !inheritedOver[e] ->
		inheritedOver[e] = 1;
		drop_starts(0);
		n = 0
	}
#endif
	/* crashes */
	:: d_step {
		up[e] && life[e] < LIFETIMES && restarts + !up[1 - e] < RESTARTS ->
		up[e] = 0;
		n = 1;
		do
		:: n > RUNS -> break
		:: else ->
			if
			:: runEndpoint[n] == e ->
				completion[n] = 0;
				startedAfter[n] = 0;
				leaseExpired[n] = 0;
				if
				:: start[n] && IS_BARRED(n, LEADER_OF(n)) && !MAY_COME_LATE(n, LEADER_OF(n)) -> start[n] = 0; runLife[n] = 0
				:: start[n] && IS_BARRED(n, LEADER_OF(n)) && MAY_COME_LATE(n, LEADER_OF(n)) -> barred[n] = 1
				:: else
				fi
			:: else
			fi;
			n++
		od;
		running[e] = 0;
		lease[e] = 0;
		foreignLease[e] = 0;
		seenToken[e] = 0;
		highestEnded[e] = 0;
		completionCount[e] = 0
	}
	/* is back under its ID */
	:: d_step { !up[e] -> up[e] = 1; life[e]++; restarts++ }
	od
}

init {
	atomic {
		leads[0] = 1;
		reached[AT(0, 0)] = 1;
		reached[AT(0, 1)] = 1;
		run View(0, 0, 0);
		run View(0, 1, 1);
		run Leader(0);
		if
		:: LEADERS == 2 -> run View(1, 0, 2); run View(1, 1, 3); run Leader(1)
		:: else
		fi;
		run Endpoint(0);
		run Endpoint(1);
		n = 1;
		do
		:: n > RUNS -> break
		:: else -> run Start(n, LEADER_OF(n)); n++
		od
	}
}
