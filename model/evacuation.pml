/*
 * An operator requests the evacuation of a data centre and withdraws it. Two processes
 * follow the operator's rows, tell each other what they hold, and lead in turn; a former
 * leader does not know at once that it has been replaced. Processes crash, and are paused
 * or without the store for a while.
 *
 * Checked: once the bound after a request is over, and until it is withdrawn, no leader
 * sends a start into the data centre, unless it is paused or without the store, or just
 * was.
 *
 * Time is abstract. The bound is over at any time after the request, but not before each
 * process has read it that follows the rows and is neither paused nor without the store,
 * and not while an answer of the store from before is on its way to such a process. A
 * process that was paused or without the store counts as sound again once it has read the
 * rows. A read through a peer is like one of the store. Tokens are not modelled: a former
 * leader's starts count, too. What an endpoint does with a start that arrives late is not
 * checked.
 *
 * Each BROKEN_ macro disables one rule; see the files evacuation-broken-*.pml. The rules
 * are those of internal/evacuation, internal/fleet and internal/control.
 */
#define LAST_VERSION 3    /* request, withdrawal, and request */
#define LAST_TERM 3       /* of leaders */
#define CRASHES 1

/* The operator's row. */
bit requested;
byte version;
byte changedAt;           /* the version of the last request */
bit boundOver;

/* The processes. */
bit up[2] = 1;
bit impaired[2];          /* paused or without the store, or just was */
bit follows[2];           /* has read the rows since its start */
byte asOf[2];             /* what its holder has, and of which version */
bit held[2];

/* An answer of the store, and a hello, on the way to a process. */
bit reading[2];
byte readAsOf[2];
bit readHeld[2];
bit hello[2];
byte helloAsOf[2];
bit helloHeld[2];

/* The leaders. */
byte claim;               /* who has it */
byte term = 1;
bit leads[2];
bit ready[2];             /* may send orders */
bit queued[2];            /* a start into the data centre */
byte crashes;

#ifdef BROKEN_AS_OF
#define IS_NEWER(number) true
#else
#define IS_NEWER(number) (number > asOf[p])
#endif

#ifdef BROKEN_READ
#define READY_AT_ONCE 1
#else
#define READY_AT_ONCE 0
#endif

#ifdef BROKEN_QUEUED
#define IS_WITHDRAWN(p) false
#else
#define IS_WITHDRAWN(p) held[p]
#endif

inline update(number, value) {
	if
	:: IS_NEWER(number) -> asOf[p] = number; held[p] = value
	:: else
	fi
}

inline clear_read() { reading[p] = 0; readAsOf[p] = 0; readHeld[p] = 0 }

inline clear_hello() { hello[p] = 0; helloAsOf[p] = 0; helloHeld[p] = 0 }

/* the process has read the request, or nothing makes it sure that it has */
#define HAS_READ(p) ((!follows[p] || asOf[p] >= changedAt) && (!reading[p] || readAsOf[p] >= changedAt))
#define IS_SOUND(p) (!up[p] || impaired[p] || HAS_READ(p))

proctype Operator() {
end:
	do
	:: d_step { !requested && version < LAST_VERSION -> requested = 1; version++; changedAt = version }
	:: d_step { requested && version < LAST_VERSION -> requested = 0; version++; boundOver = 0 }
	:: d_step { requested && !boundOver && IS_SOUND(0) && IS_SOUND(1) -> boundOver = 1 }
	od
}

proctype Process(byte p) {
end:
	do
	/* the store answers a read, and the process gets the answer or does not */
	:: d_step { up[p] && !reading[p] && (version > asOf[p] || !follows[p] || leads[p] && !ready[p]) -> reading[p] = 1; readAsOf[p] = version; readHeld[p] = requested }
	:: d_step {
		up[p] && reading[p] ->
		update(readAsOf[p], readHeld[p]);
		clear_read();
		follows[p] = 1;
		ready[p] = leads[p]
	}
	:: d_step { reading[p] -> clear_read() }
	/* the other process says hello, and the process gets the last one, or none */
	:: d_step { up[1 - p] && up[p] && asOf[1 - p] > helloAsOf[p] -> hello[p] = 1; helloAsOf[p] = asOf[1 - p]; helloHeld[p] = held[1 - p] }
	:: d_step { up[p] && hello[p] -> update(helloAsOf[p], helloHeld[p]); clear_hello() }
	/* takes over */
	:: d_step {
		up[p] && !impaired[p] && !leads[p] && term < LAST_TERM ->
		claim = p;
		term++;
		leads[p] = 1;
		ready[p] = READY_AT_ONCE
	}
	/* learns that it has been replaced */
	:: d_step { leads[p] && claim != p -> leads[p] = 0; ready[p] = 0; queued[p] = 0 }
	/* decides to start a task in the data centre, and sends the start */
	:: d_step { ready[p] && !held[p] && !queued[p] -> queued[p] = 1 }
	:: d_step {
		queued[p] ->
		assert(!boundOver || impaired[p] || IS_WITHDRAWN(p));
		queued[p] = 0
	}
	/* is paused or loses the store, and is sound again */
	:: d_step { up[p] && !impaired[p] -> impaired[p] = 1 }
	:: d_step { impaired[p] && HAS_READ(p) -> impaired[p] = 0 }
	/* crashes, and starts again */
	:: d_step {
		up[p] && crashes < CRASHES ->
		crashes++;
		up[p] = 0;
		impaired[p] = 0;
		follows[p] = 0;
		asOf[p] = 0;
		held[p] = 0;
		leads[p] = 0;
		ready[p] = 0;
		queued[p] = 0;
		clear_read();
		clear_hello()
	}
	:: d_step { !up[p] -> up[p] = 1 }
	od
}

init {
	atomic {
		leads[0] = 1;
		run Operator();
		run Process(0);
		run Process(1)
	}
}
