/*
 * Two claimants claim one id, with three entries, two roster changes and the
 * table. A message stays in the network until its receiver can no longer accept
 * it, and is delivered any number of times. This covers loss, delay, duplication
 * and reordering. A table outage, a network partition and a paused process are
 * steps that are not taken; a commit that was sent may take effect at any later
 * time. Grants confirmed by the secondary may happen at any time, not only in an
 * outage. A run counts from its grant. A crashed process counts as proven gone.
 *
 * Checked: the request runs at most once, and an id is reported as not run only
 * if it has not run. Each BROKEN_ macro disables one rule; see the files
 * claim-broken-*.pml.
 */
#define NODES 3
#define VERSIONS 3
#define CONTESTED 3

/* primary and secondary replica of the id at roster versions 1, 2, 3 */
#define PRIMARY(v) ((v) - 1)
#define SECONDARY(v) ((v) == 2 -> 2 : 1)
#define IS_PRIMARY(n) (alive[n] && PRIMARY(view[n]) == n)

#define AT(t, v) ((t) * 4 + (v))
#define RUNS (ran[1] + ran[2])

#ifdef BROKEN_ACK
#define MAY_ACK(n) true
#else
#define MAY_ACK(n) (unpersisted[n] == 0 || unpersisted[n] == view[n])
#endif

#ifdef BROKEN_VERSION
#define SAME_VERSION(n, v) true
#else
#define SAME_VERSION(n, v) (view[n] == v)
#endif

#ifdef BROKEN_TOKEN
#define FOR_PRIMARY(t, n) true
#else
#define FOR_PRIMARY(t, n) (target[t] == n)
#endif

byte version = 1;          /* roster row */
byte row;                  /* claim row: 0, token, or CONTESTED */
byte ack[NODES];           /* acknowledgement rows */

bit alive[NODES] = 1;
byte view[NODES] = 1;      /* roster version in use */
byte recorded[NODES];      /* recorded token */
byte unpersisted[NODES];   /* roster version of a record that the table may lack */
byte pending_token[NODES]; /* pending token */
bit loaded[NODES];

bit insert[12];            /* messages in flight, by token and version */
bit mirror[12];
bit confirm[12];
byte target[3];            /* primary that the token is presented to */
bit ran[3];
byte n, t, v, earlier;
bit flushed;

/*
 * sets flushed if, in each earlier replica pair, the primary has acknowledged a
 * later version, or is gone and the secondary has acknowledged one
 */
inline check_flushed() {
	d_step {
	flushed = 1;
	earlier = 1;
	do
	:: earlier >= view[n] -> break
	:: else ->
		if
#ifdef BROKEN_UNFLUSHED
		:: true
#else
		:: PRIMARY(earlier) == n || ack[PRIMARY(earlier)] > earlier
#ifdef BROKEN_CUTOFF
		:: SECONDARY(earlier) == n || ack[SECONDARY(earlier)] > earlier
#endif
		:: else ->
			if
			:: !alive[PRIMARY(earlier)] && (SECONDARY(earlier) == n || ack[SECONDARY(earlier)] > earlier)
			:: else -> flushed = 0
			fi
#endif
		fi;
		earlier++
	od
	}
}

/* merges the row into the node's record; different tokens become CONTESTED */
inline read_row() {
	if
	:: row != 0 && recorded[n] == 0 -> recorded[n] = row
	:: row != 0 && recorded[n] != 0 && recorded[n] != row -> recorded[n] = CONTESTED
	:: else
	fi
}

inline grant(token) {
	ran[token] = 1;
	assert(RUNS <= 1)
}

/* drops the messages that can no longer have an effect, to reduce the states */
inline discard() {
	d_step {
	for (t : 1 .. 2) {
		for (v : 1 .. 3) {
			if
			:: !alive[SECONDARY(v)] || (view[SECONDARY(v)] > v && !SAME_VERSION(SECONDARY(v), v)) -> mirror[AT(t, v)] = 0
			:: else
			fi;
			if
			:: !alive[PRIMARY(v)] || view[PRIMARY(v)] > v -> confirm[AT(t, v)] = 0
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
		earlier = 0;
		flushed = 0
	}
}

active proctype system() {
	atomic {
		pick_node();
		target[1] = n;
		pick_node();
		target[2] = n;
		reset()
	}
end:
	do
	/* primary: accepts a claimant's request */
	:: atomic {
		pick_node();
		pick_claimant();
		if
		:: IS_PRIMARY(n) && pending_token[n] == 0 && recorded[n] == 0 && FOR_PRIMARY(t, n) ->
			check_flushed();
			if
			:: flushed -> pending_token[n] = t
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
	/* primary: repeats the grant of a recorded token */
	:: atomic {
		pick_node();
		pick_claimant();
		if
		:: IS_PRIMARY(n) && recorded[n] == t && FOR_PRIMARY(t, n) ->
			grant(t)
		:: else
		fi;
		reset()
	}
	/* primary: sends a conditional insert */
	:: atomic {
		pick_node();
		if
		:: IS_PRIMARY(n) && pending_token[n] != 0 && row == 0 && view[n] == version ->
			insert[AT(pending_token[n], view[n])] = 1
		:: else
		fi;
		reset()
	}
	/* table: executes an insert */
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
	/* primary: reads the row and grants or drops its pending claim */
	:: atomic {
		pick_node();
		if
		:: IS_PRIMARY(n) && row != 0 ->
			read_row();
			if
				:: pending_token[n] != 0 && recorded[n] == pending_token[n] && row == pending_token[n] -> grant(pending_token[n])
				:: else
			fi;
			pending_token[n] = 0
		:: else
		fi;
		reset()
	}
	/* primary: asks its secondary to record the claim */
	:: atomic {
		pick_node();
		if
		:: IS_PRIMARY(n) && pending_token[n] != 0 && loaded[n] ->
#ifdef BROKEN_SECOND
			confirm[AT(pending_token[n], view[n])] = 1;
#endif
			mirror[AT(pending_token[n], view[n])] = 1;
			discard()
		:: else
		fi;
		reset()
	}
	/* secondary: records the claim and confirms */
	:: atomic {
		pick_claimant();
		pick_version();
		if
		:: mirror[AT(t, v)] && alive[SECONDARY(v)] && SAME_VERSION(SECONDARY(v), v) && (recorded[SECONDARY(v)] == 0 || recorded[SECONDARY(v)] == t) ->
			n = SECONDARY(v);
			recorded[n] = t;
			unpersisted[n] = (unpersisted[n] == 0 -> view[n] : unpersisted[n]);
			confirm[AT(t, v)] = 1;
			discard()
		:: else
		fi;
		reset()
	}
	/* primary: grants a confirmed claim */
	:: atomic {
		pick_claimant();
		pick_version();
		if
		:: confirm[AT(t, v)] && alive[PRIMARY(v)] && view[PRIMARY(v)] == v && pending_token[PRIMARY(v)] == t ->
			n = PRIMARY(v);
			pending_token[n] = 0;
			recorded[n] = t;
			unpersisted[n] = (unpersisted[n] == 0 -> v : unpersisted[n]);
			grant(t)
		:: else
		fi;
		reset()
	}
	/* primary: gives up a pending claim */
	:: atomic {
		pick_node();
		if
		:: pending_token[n] != 0 ->
			pending_token[n] = 0
		:: else
		fi;
		reset()
	}
	/* primary: reports that the id did not run */
	:: atomic {
		pick_node();
		if
		:: IS_PRIMARY(n) && loaded[n] && pending_token[n] == 0 && recorded[n] == 0 ->
			assert(RUNS == 0)
		:: else
		fi;
		reset()
	}
	/* primary: loads the bucket once earlier pairs have flushed */
	:: atomic {
		pick_node();
		if
		:: IS_PRIMARY(n) && !loaded[n] && pending_token[n] == 0 ->
			check_flushed();
			if
			:: flushed -> read_row(); loaded[n] = 1
			:: else
			fi
		:: else
		fi;
		reset()
	}
	/* replica: flushes its unpersisted record */
	:: atomic {
		pick_node();
		if
		:: alive[n] && unpersisted[n] != 0 ->
			read_row();
			row = recorded[n];
			unpersisted[n] = 0;
			discard()
		:: else
		fi;
		reset()
	}
	/* replica: acknowledges its roster version */
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
	/* replica: receives the next roster version */
	:: atomic {
		pick_node();
		if
		:: alive[n] && view[n] < version ->
			view[n]++;
			loaded[n] = 0;
			pending_token[n] = 0;
			if
			:: PRIMARY(view[n]) != n && unpersisted[n] == 0 -> recorded[n] = 0
			:: else
			fi;
			discard()
		:: else
		fi;
		reset()
	}
	/* replica: crashes */
	:: atomic {
		pick_node();
		if
		:: alive[n] ->
			recorded[n] = 0;
			unpersisted[n] = 0;
			pending_token[n] = 0;
#ifdef BROKEN_RESTART
			loaded[n] = (PRIMARY(view[n]) == n);
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
