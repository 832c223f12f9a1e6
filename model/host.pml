/*
 * A host moves between two pools. Two managers act on rows that they read some
 * time ago; entries dispatch work according to their own copy of the row, crash
 * while work runs, and join. The host must only ever run work of its row's pool.
 *
 * Transitions and their functions: docs/decisions/012-host-moves.md.
 */
#ifndef RULE_ROW_VERSION
#define RULE_ROW_VERSION 1
#endif
#ifndef RULE_ROSTER_VERSION
#define RULE_ROSTER_VERSION 1
#endif
#ifndef RULE_CONFIRM
#define RULE_CONFIRM 1
#endif
#ifndef RULE_LONGEST_RUN
#define RULE_LONGEST_RUN 1
#endif

#define ENTRIES 2
#define LAST_EPOCH 5

/* The host's row. */
byte pool = 0;
bool draining = false;
byte epoch = 1;

/* The roster's row. */
byte roster = 1;
bool member[ENTRIES];

/* Each entry's copy of the row, its work at the host and its last confirmation. */
byte viewPool[ENTRIES];
bool viewDraining[ENTRIES];
byte viewEpoch[ENTRIES];
bool work[ENTRIES];
byte workPool[ENTRIES];
byte confirmed[ENTRIES];
bool crashed[ENTRIES];

inline checkPool() {
	assert(!work[0] || workPool[0] == pool);
	assert(!work[1] || workPool[1] == pool);
}

proctype Entry(byte e; bool joins) {
	if
	:: joins -> atomic { member[e] = true; roster++ }
	:: else
	fi;
	atomic { viewPool[e] = pool; viewDraining[e] = draining; viewEpoch[e] = epoch };
	do
	:: atomic { !viewDraining[e] && !work[e] -> work[e] = true; workPool[e] = viewPool[e]; checkPool() }
	:: atomic { work[e] -> work[e] = false }
	:: atomic { viewEpoch[e] != epoch -> viewPool[e] = pool; viewDraining[e] = draining; viewEpoch[e] = epoch }
	:: atomic { viewDraining[e] && !work[e] && confirmed[e] != viewEpoch[e] -> confirmed[e] = viewEpoch[e] }
	:: atomic { e == 0 -> crashed[e] = true; member[e] = false; roster++; break }
	:: epoch >= LAST_EPOCH -> break
	od;
	/* Work of a crashed entry ends by itself. */
	if
	:: atomic { crashed[e] && work[e] -> work[e] = false }
	:: !crashed[e] || !work[e]
	fi
}

#define confirmedOrGone(e) (!(readMember[e]) || confirmed[e] >= readEpoch)
#define workEnded(e) (!crashed[e] || !work[e])
#define allConfirmed (!RULE_CONFIRM || (confirmedOrGone(0) && confirmedOrGone(1)))
#define allWorkEnded (!RULE_LONGEST_RUN || (workEnded(0) && workEnded(1)))
#define drained (allConfirmed && allWorkEnded)
#define unchanged ((!RULE_ROW_VERSION || epoch == readEpoch) && (!RULE_ROSTER_VERSION || roster == readRoster))

proctype Manager() {
	byte readPool, readEpoch, readRoster;
	bool readDraining;
	bool readMember[ENTRIES];
	do
	:: epoch >= LAST_EPOCH -> break
	:: else ->
		/* The roster is polled separately and may be older than the row. */
		if
		:: atomic {
			readRoster = roster;
			readMember[0] = member[0]; readMember[1] = member[1]
		}
		:: readRoster != 0
		fi;
		atomic { readPool = pool; readDraining = draining; readEpoch = epoch };
		if
		:: !readDraining -> atomic {
			if
			:: unchanged ->
				draining = true; pool = readPool; epoch++; checkPool()
			:: else
			fi
		}
		:: readDraining -> atomic {
			if
			:: drained && unchanged ->
				draining = false; pool = 1 - readPool; epoch++; checkPool()
			:: else
			fi
		}
		:: readDraining -> atomic {
			if
			:: unchanged ->
				draining = false; pool = readPool; epoch++; checkPool()
			:: else
			fi
		}
		fi
	od
}

init {
	atomic {
		member[0] = true;
		run Entry(0, false);
		run Entry(1, true);
		run Manager();
		run Manager()
	}
}
