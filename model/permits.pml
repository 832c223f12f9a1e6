/*
 * Permits of one team: members transfer permits within a generation, and managers
 * rebase to the next generation by a conditional commit. A paused process, a
 * network partition and a late or lost message are all interleavings: any member
 * may act late and any report may go unused.
 *
 * A live member may use all its permits at any time, so the check is on holdings;
 * a dead member's work continues until its longest run is over.
 *
 * Each NO_* macro disables one rule; see permits-broken-*.pml.
 */
#define N 3
#define LIMIT 2
#define MAXGEN 3
#ifdef LOWER
#define TRANSFERS 1
#else
#define TRANSFERS 2
#endif

#define AT(g, m) (((g) - 1) * N + (m))
#define FLOW(g, x, y) ((((g) - 1) * N + (x)) * N + (y))

/* The committed rows by generation; carriedAt 0 means not carried. */
byte rowGen = 1;
byte rowLimit = LIMIT;
byte granted[MAXGEN * N];
byte carriedAt[MAXGEN * N];
short bound[N];
bit inRow[N];

/*
 * The members. unpermitted counts runs without a permit; there are some only if a
 * rule is disabled.
 */
byte gen[N];
byte holding[N];
bit frozen[N];
bit dead[N];
bit gone[N];
byte unpermitted = 0;

/* Totals by generation; a receiver may observe any earlier total. */
byte sent[MAXGEN * N * N];
byte received[MAXGEN * N * N];

/*
 * The plan of a slow manager, from its read to its commit. A fast manager races
 * with it: its plan is the second half of the arrays and is committed at once.
 */
bit planned;
byte planBase;
byte planLimit;
byte planGranted[2 * N];
byte planCarriedAt[2 * N];
short planBound[2 * N];
bit planInRow[2 * N];
bit fits;

byte targetLimit = LIMIT;
byte transfers = TRANSFERS;
byte crashes = 1;

#ifdef NO_FREEZE
#define MAY_RECEIVE(m) (!dead[m])
#else
#define MAY_RECEIVE(m) (!dead[m] && !frozen[m])
#endif
#ifdef NO_DEBIT
#define DEBIT 0
#else
#define DEBIT 1
#endif
#ifdef NO_EVIDENCE
#define EVIDENCE(m) 1
#else
#define EVIDENCE(m) dead[m]
#endif
#ifdef NO_LONGEST_RUN
#define LEFT_RUNNING(m) holding[m]
#else
#define LEFT_RUNNING(m) (dead[m] -> 0 : holding[m])
#endif
#ifdef NO_CONDITION
#define CONDITION 1
#else
#define CONDITION (planBase == rowGen)
#endif
/* A gone member is carried while any member of its generation is unreported. */
#ifdef NO_GHOSTS
#define KEPT(m) (!gone[m])
#else
#define KEPT(m) unreported
#endif

#define TOTAL (holding[0] + holding[1] + holding[2] + unpermitted)
#define EXPECTED(m) (carriedAt[AT(rowGen, m)] > 0 -> carriedAt[AT(rowGen, m)] : rowGen)
#define BASE(m) (carriedAt[AT(rowGen, m)] > 0 -> bound[m] : granted[AT(rowGen, m)])
#define REPORTED(m) (inRow[m] && frozen[m] && gen[m] == EXPECTED(m))
#define USED(mask, m) ((((mask) >> (m)) & 1) && REPORTED(m))
/* Every member in mask has reported, and one of them is live. */
#define HAS(mask, m) (!(((mask) >> (m)) & 1) || REPORTED(m))
#define LIVE(mask, m) (USED(mask, m) && !gone[m])
#define READY(mask) (HAS(mask, 0) && HAS(mask, 1) && HAS(mask, 2) && (LIVE(mask, 0) || LIVE(mask, 1) || LIVE(mask, 2)))

inline transfer(m, y) {
	d_step {
		transfers > 0 && !dead[m] && !frozen[m] && holding[m] > 0 ->
		transfers--;
		sent[FLOW(gen[m], m, y)]++;
		holding[m] = holding[m] - DEBIT
	}
}

inline receive(m, x) {
	d_step {
		MAY_RECEIVE(m) && received[FLOW(gen[m], x, m)] < sent[FLOW(gen[m], x, m)] ->
		received[FLOW(gen[m], x, m)]++;
		holding[m]++;
		assert(TOTAL <= rowLimit)
	}
}

inline freeze(m) {
	d_step {
		!dead[m] && !frozen[m] -> frozen[m] = 1
	}
}

/* A frozen member releases permits that are idle or whose work has ended. */
inline releaseFrozen(m) {
	d_step {
		!dead[m] && frozen[m] && targetLimit < rowLimit && holding[m] > 0 -> holding[m]--
	}
}

/* A member reads a committed row, possibly an old one. */
inline adoptRow(m, g) {
	d_step {
		!dead[m] && g > gen[m] && g <= rowGen ->
		if
		:: carriedAt[AT(g, m)] > gen[m] ->
			gen[m] = carriedAt[AT(g, m)];
			frozen[m] = 1
		:: carriedAt[AT(g, m)] > 0 && carriedAt[AT(g, m)] <= gen[m]
		:: else ->
			if
			:: holding[m] > granted[AT(g, m)] -> unpermitted = unpermitted + holding[m] - granted[AT(g, m)]
			:: else
			fi;
			gen[m] = g;
			holding[m] = granted[AT(g, m)];
			frozen[m] = 0;
			assert(TOTAL <= rowLimit)
		fi
	}
}

inline adoptGeneration2(m) {
	adoptRow(m, 2)
}

inline adoptGeneration3(m) {
	adoptRow(m, 3)
}

inline crash(m) {
	d_step {
		crashes > 0 && !dead[m] -> crashes--; dead[m] = 1
	}
}

/* There is evidence that the member has ended, and its longest run is over. */
inline proveGone(m) {
	d_step {
		!gone[m] && EVIDENCE(m) -> gone[m] = 1; holding[m] = LEFT_RUNNING(m)
	}
}

/*
 * Computes the next row from the reports in mask. Free permits go to the first
 * live member, or to the last one if the fast manager plans.
 */
inline computePlan(i, mask) {
	sum = 0;
	recipient = N;
	a = 0;
	do
	:: a < N ->
		if
		:: USED(mask, a) && !gone[a] ->
			planGranted[i * N + a] = holding[a];
			planInRow[i * N + a] = 1;
			sum = sum + holding[a];
			recipient = ((i == 1 || recipient == N) -> a : recipient)
		:: inRow[a] && !USED(mask, a) ->
			unreported = 0;
			flows = 0;
			b = 0;
			do
			:: b < N ->
				if
				:: inRow[b] && EXPECTED(b) == EXPECTED(a) && USED(mask, b) ->
					flows = flows + sent[FLOW(EXPECTED(a), b, a)] - received[FLOW(EXPECTED(a), a, b)]
				:: inRow[b] && EXPECTED(b) == EXPECTED(a) && !USED(mask, b) && !gone[b] ->
					unreported = 1
				:: else
				fi;
				b++
			:: else -> break
			od;
			if
			:: KEPT(a) ->
				planInRow[i * N + a] = 1;
				planCarriedAt[i * N + a] = EXPECTED(a);
				planBound[i * N + a] = flows + BASE(a);
				sum = sum + planBound[i * N + a]
			:: else
			fi
		:: else
		fi;
		a++
	:: else -> break
	od;
	fits = 0;
	if
	:: sum <= targetLimit ->
		planGranted[i * N + recipient] = planGranted[i * N + recipient] + targetLimit - sum;
		fits = 1
	:: else
	fi;
	sum = 0; a = 0; b = 0; recipient = 0; unreported = 0; flows = 0
}

inline commitRow(i, base, newLimit) {
	a = 0;
	do
	:: a < N ->
		granted[AT(base + 1, a)] = planGranted[i * N + a];
		carriedAt[AT(base + 1, a)] = planCarriedAt[i * N + a];
		bound[a] = planBound[i * N + a];
		inRow[a] = planInRow[i * N + a];
#ifdef NO_STAY
		/* Each carried bound is granted like an ordinary holding. */
		if
		:: planCarriedAt[i * N + a] > 0 ->
			carriedAt[AT(base + 1, a)] = 0;
			granted[AT(base + 1, a)] = (planBound[i * N + a] > 0 -> planBound[i * N + a] : 0)
		:: else
		fi;
#endif
		a++
	:: else -> break
	od;
	a = 0;
	rowGen = base + 1;
	rowLimit = newLimit;
	assert(TOTAL <= rowLimit)
}

inline clearPlan(i) {
	a = 0;
	do
	:: a < N ->
		planGranted[i * N + a] = 0;
		planCarriedAt[i * N + a] = 0;
		planBound[i * N + a] = 0;
		planInRow[i * N + a] = 0;
		a++
	:: else -> break
	od;
	a = 0;
	fits = 0
}

inline dropPlan() {
	planned = 0;
	planBase = 0;
	planLimit = 0;
	clearPlan(0)
}

inline planAndCommit(mask) {
	d_step {
		rowGen < MAXGEN && READY(mask) ->
		computePlan(1, mask);
		if
		:: fits ->
			commitRow(1, rowGen, targetLimit);
			/* The slow manager's commit would fail on the row version. */
			if
			:: planned && !CONDITION -> dropPlan()
			:: else
			fi
		:: else
		fi;
		clearPlan(1)
	}
}

inline plan(mask) {
	d_step {
		!planned && rowGen < MAXGEN && READY(mask) ->
		computePlan(0, mask);
		if
		:: fits ->
			planned = 1;
			planBase = rowGen;
			planLimit = targetLimit;
			fits = 0
		:: else -> clearPlan(0)
		fi
	}
}

/* A lost response changes nothing: a repeated commit fails on the row version. */
inline commit() {
	d_step {
		planned && CONDITION -> commitRow(0, planBase, planLimit); dropPlan()
	}
}

inline lowerLimit() {
	d_step {
		targetLimit == LIMIT -> targetLimit = LIMIT - 1
	}
}

#define EACH(action) :: action(0) :: action(1) :: action(2)
#define PAIRS(action) :: action(0, 1) :: action(0, 2) :: action(1, 0) :: action(1, 2) :: action(2, 0) :: action(2, 1)
#define PLANS(action) :: action(1) :: action(2) :: action(3) :: action(4) :: action(5) :: action(6) :: action(7)

init {
	byte a, b, recipient;
	short sum, flows;
	bit unreported;
	d_step {
		granted[AT(1, 0)] = 1;
		granted[AT(1, 1)] = 1;
		do
		:: a < N -> gen[a] = 1; holding[a] = granted[AT(1, a)]; inRow[a] = 1; a++
		:: else -> break
		od;
		a = 0
	}
end:
	do
	EACH(freeze)
	EACH(crash)
	EACH(proveGone)
	PAIRS(transfer)
	PAIRS(receive)
	EACH(adoptGeneration2)
	EACH(adoptGeneration3)
	PLANS(planAndCommit)
#ifndef LOWER
	PLANS(plan)
	:: commit()
#else
	EACH(releaseFrozen)
	:: lowerLimit()
#endif
	od
}
