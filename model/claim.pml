/*
 * Claims on one id by two claimants, with three entries, two roster changes
 * and the table. A message stays in the network until its receiver can no
 * longer accept it and is delivered any number of times, so loss, delay,
 * doubling and reordering are included. An outage of the table, a cut link and
 * a pause are steps that are not taken; a commit that was sent may take effect
 * at any later time. Grants through the second may happen at any time, not
 * only in an outage. A run counts from its grant. A crashed process counts as
 * proven gone.
 *
 * Checked: the request runs at most once, and "not run" is true when said.
 * The BROKEN_ macros each take one rule out; see the files claim-broken-*.pml.
 */
#define NODES 3
#define VERSIONS 3
#define CONTESTED 3

/* home and second of the id at roster versions 1, 2, 3 */
#define HOME(v) ((v) - 1)
#define SECOND(v) ((v) == 2 -> 2 : 1)
#define IS_HOME(n) (alive[n] && HOME(view[n]) == n)

#define AT(t, v) ((t) * 4 + (v))
#define RUNS (ran[1] + ran[2])

#ifdef BROKEN_ACK
#define MAY_ACK(n) true
#else
#define MAY_ACK(n) (owed[n] == 0 || owed[n] == view[n])
#endif

#ifdef BROKEN_VERSION
#define SAME_VERSION(n, v) true
#else
#define SAME_VERSION(n, v) (view[n] == v)
#endif

#ifdef BROKEN_TOKEN
#define FOR_HOME(t, n) true
#else
#define FOR_HOME(t, n) (target[t] == n)
#endif

byte version = 1;          /* roster row */
byte row;                  /* claim row: 0, token, or CONTESTED */
byte ack[NODES];           /* acknowledgement rows */

bit alive[NODES] = 1;
byte view[NODES] = 1;      /* roster version in use */
byte memory[NODES];        /* token recorded */
byte owed[NODES];          /* version of a record the table may lack */
byte waiting[NODES];       /* token pending */
bit loaded[NODES];

bit insert[12];            /* commits under way: token, version */
bit ask[12];
bit confirm[12];
byte target[3];            /* home to which the token is presented */
bit ran[3];
byte n, t, v, past;
bit settled;

inline check_settled() {
	d_step {
	settled = 1;
	past = 1;
	do
	:: past >= view[n] -> break
	:: else ->
		if
#ifdef BROKEN_UNFLUSHED
		:: true
#else
		:: HOME(past) == n || ack[HOME(past)] > past
#ifdef BROKEN_CUTOFF
		:: SECOND(past) == n || ack[SECOND(past)] > past
#endif
		:: else ->
			if
			:: !alive[HOME(past)] && (SECOND(past) == n || ack[SECOND(past)] > past)
			:: else -> settled = 0
			fi
#endif
		fi;
		past++
	od
	}
}

/* merges the row into the node's record */
inline read_row() {
	if
	:: row != 0 && memory[n] == 0 -> memory[n] = row
	:: row != 0 && memory[n] != 0 && memory[n] != row -> memory[n] = CONTESTED
	:: else
	fi
}

inline grant(token) {
	ran[token] = 1;
	assert(RUNS <= 1)
}

/* drops the messages that can have no more effect */
inline discard() {
	d_step {
	for (t : 1 .. 2) {
		for (v : 1 .. 3) {
			if
			:: !alive[SECOND(v)] || (view[SECOND(v)] > v && !SAME_VERSION(SECOND(v), v)) -> ask[AT(t, v)] = 0
			:: else
			fi;
			if
			:: !alive[HOME(v)] || view[HOME(v)] > v -> confirm[AT(t, v)] = 0
			:: else
			fi;
			if
			:: row != 0 || v < version -> insert[AT(t, v)] = 0
			:: else
			fi
		}
	}
	}
}

inline pick_node() {
	if
	:: n = 0
	:: n = 1
	:: n = 2
	fi
}

inline pick_claimant() {
	if
	:: t = 1
	:: t = 2
	fi
}

inline pick_version() {
	if
	:: v = 1
	:: v = 2
	:: v = 3
	fi
}

inline reset() {
	d_step {
		n = 0;
		t = 0;
		v = 0;
		past = 0;
		settled = 0
	}
}

active proctype world() {
	atomic {
		pick_node();
		target[1] = n;
		pick_node();
		target[2] = n;
		reset()
	}
end:
	do
	/* home: takes a claimant's request */
	:: atomic {
		pick_node();
		pick_claimant();
		if
		:: IS_HOME(n) && waiting[n] == 0 && memory[n] == 0 && FOR_HOME(t, n) ->
			check_settled();
			if
			:: settled -> waiting[n] = t
			:: else
			fi
		:: else
		fi;
		reset()
	}
#ifdef BROKEN_ORDER
	/* claimant: dispatches before it claims */
	:: atomic {
		pick_claimant();
		grant(t);
		reset()
	}
#endif
	/* home: grants again what it recorded */
	:: atomic {
		pick_node();
		pick_claimant();
		if
		:: IS_HOME(n) && memory[n] == t && FOR_HOME(t, n) ->
			grant(t)
		:: else
		fi;
		reset()
	}
	/* home: sends a conditional insert */
	:: atomic {
		pick_node();
		if
		:: IS_HOME(n) && waiting[n] != 0 && row == 0 && view[n] == version ->
			insert[AT(waiting[n], view[n])] = 1
		:: else
		fi;
		reset()
	}
	/* table: performs an insert */
	:: atomic {
		pick_claimant();
		pick_version();
		if
		:: insert[AT(t, v)] && row == 0 && v == version ->
			row = t;
			discard()
		:: else
		fi;
		reset()
	}
	/* home: reads the row and settles its pending claim on it */
	:: atomic {
		pick_node();
		if
		:: IS_HOME(n) && row != 0 ->
			read_row();
			if
				:: waiting[n] != 0 && memory[n] == waiting[n] && row == waiting[n] -> grant(waiting[n])
				:: else
			fi;
			waiting[n] = 0
		:: else
		fi;
		reset()
	}
	/* home: asks its second */
	:: atomic {
		pick_node();
		if
		:: IS_HOME(n) && waiting[n] != 0 && loaded[n] ->
#ifdef BROKEN_SECOND
			confirm[AT(waiting[n], view[n])] = 1;
#endif
			ask[AT(waiting[n], view[n])] = 1;
			discard()
		:: else
		fi;
		reset()
	}
	/* second: records and confirms */
	:: atomic {
		pick_claimant();
		pick_version();
		if
		:: ask[AT(t, v)] && alive[SECOND(v)] && SAME_VERSION(SECOND(v), v) && (memory[SECOND(v)] == 0 || memory[SECOND(v)] == t) ->
			n = SECOND(v);
			memory[n] = t;
			owed[n] = (owed[n] == 0 -> view[n] : owed[n]);
			confirm[AT(t, v)] = 1;
			discard()
		:: else
		fi;
		reset()
	}
	/* home: grants a confirmed claim */
	:: atomic {
		pick_claimant();
		pick_version();
		if
		:: confirm[AT(t, v)] && alive[HOME(v)] && view[HOME(v)] == v && waiting[HOME(v)] == t ->
			n = HOME(v);
			waiting[n] = 0;
			memory[n] = t;
			owed[n] = (owed[n] == 0 -> v : owed[n]);
			grant(t)
		:: else
		fi;
		reset()
	}
	/* home: gives up a pending claim */
	:: atomic {
		pick_node();
		if
		:: waiting[n] != 0 ->
			waiting[n] = 0
		:: else
		fi;
		reset()
	}
	/* home: says that the id did not run */
	:: atomic {
		pick_node();
		if
		:: IS_HOME(n) && loaded[n] && waiting[n] == 0 && memory[n] == 0 ->
			assert(RUNS == 0)
		:: else
		fi;
		reset()
	}
	/* home: loads the bucket once it is settled */
	:: atomic {
		pick_node();
		if
		:: IS_HOME(n) && !loaded[n] && waiting[n] == 0 ->
			check_settled();
			if
			:: settled -> read_row(); loaded[n] = 1
			:: else
			fi
		:: else
		fi;
		reset()
	}
	/* holder: flushes what it owes */
	:: atomic {
		pick_node();
		if
		:: alive[n] && owed[n] != 0 ->
			read_row();
			row = memory[n];
			owed[n] = 0;
			discard()
		:: else
		fi;
		reset()
	}
	/* holder: acknowledges its roster version */
	:: atomic {
		pick_node();
		if
		:: alive[n] && view[n] > ack[n] && MAY_ACK(n) ->
			ack[n] = view[n]
		:: else
		fi;
		reset()
	}
	/* roster: changes */
	:: atomic {
		version < VERSIONS ->
		version++;
		discard();
		reset()
	}
	/* holder: hears of the next roster version */
	:: atomic {
		pick_node();
		if
		:: alive[n] && view[n] < version ->
			view[n]++;
			loaded[n] = 0;
			waiting[n] = 0;
			if
			:: HOME(view[n]) != n && owed[n] == 0 -> memory[n] = 0
			:: else
			fi;
			discard()
		:: else
		fi;
		reset()
	}
	/* holder: crashes */
	:: atomic {
		pick_node();
		if
		:: alive[n] ->
			memory[n] = 0;
			owed[n] = 0;
			waiting[n] = 0;
#ifdef BROKEN_RESTART
			loaded[n] = (HOME(view[n]) == n);
#else
			alive[n] = 0;
			loaded[n] = 0;
			view[n] = 0;
#endif
			discard()
		:: else
		fi;
		reset()
	}
	od
}
