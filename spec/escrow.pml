/*
 * Shares of one limit: questions, grants, recounts, VMs that are paused,
 * restarted or dropped from the platform's list.
 *
 * Questions and grants are records that stay: a VM may take one in at once,
 * late, twice or never, which covers loss, doubling, delay and reordering. A
 * VM that takes no step is paused. "lapsed" says that the time for which its
 * shares are good has run out; a VM may be taken for gone only after that, as
 * gone_after is longer. A report is kept per epoch, as its message may be late;
 * a VM that moved gives nothing until the recounter has its report: else it
 * could be gone, its grant alive, and what it held be counted as missing.
 *
 * Proved: the shares that may be used never sum to more than the whole; a
 * recount that ends with nothing given since, and all who did not report
 * gone, leaves nothing lost.
 */
/* mutants: KEEP_GIVEN ACCEPT_TWICE OLD_EPOCH NO_VOID GONE_EARLY NO_CONDITION CREATE_LATE LIFE_LOST COUNT_ONCE_MORE NOT_MOVED NO_CONFIRM FINISH_LATE GIVE_UNCOUNTED */
/* spin: -DN=3 -DASKS=1 -DEPOCHS=2 -DRESTARTS=0 -DUNLISTS=1 */
/* spin: -DN=2 -DASKS=1 -DEPOCHS=3 -DRESTARTS=1 -DUNLISTS=1 */
/* spin: -DN=2 -DASKS=2 -DEPOCHS=2 -DRESTARTS=1 -DUNLISTS=1 */
/* spin: -DN=2 -DASKS=2 -DEPOCHS=3 -DRESTARTS=0 -DUNLISTS=1 -DGRANTS=1 */
#define WHOLE	2
#ifndef GRANTS
#define GRANTS	2
#endif
#define EP(v, e) ((v) * (EPOCHS + 1) + (e))

#ifdef GIVE_UNCOUNTED
#define MAY_GIVE(v) true
#else
#define MAY_GIVE(v) (report[EP(v, ep[v])] <= 1 || counted[EP(v, ep[v])])
#endif

typedef question {
	byte from;
	byte to;
	byte ep;     /* the asker's epoch; 0: it knows none */
	bool open;
};

typedef grant {
	byte ask;
	byte ep;
	byte amount;
};

byte ep[N];
byte share[N];
bool listed[N];
bool lapsed[N];
bool reading[N];	/* a claim is between its read and its write */
byte read_ep[N];
bool written[N];	/* a first epoch was written, its reply not in */
byte counting[N];	/* epoch of this VM's recount; 0: none */
byte missing[N];	/* share + 1 that it may add; 0: not yet */
byte report[N * (EPOCHS + 1)];	/* share + 1; 0: none */
bool counted[N * (EPOCHS + 1)]; /* by the recounter, who told the VM so */
byte total[EPOCHS + 1];		/* of the reports counted */
question ask[ASKS];
byte asks;
grant given[GRANTS];
byte grants;
byte last[N * N];	/* question + 1 that a VM answered a peer last */
byte platform;		/* epoch at the platform */
byte unlists;
byte restarts;
bool moved_since[EPOCHS + 1]; /* shares moved or fell since its claim */
byte i, j, k, sum, amount, target;
bool all;

inline check()
{
	sum = 0;
	for (k : 0 .. N - 1) {
		if
		:: !lapsed[k] -> sum = sum + share[k]
		:: else
		fi
	}
	assert(sum <= WHOLE)
}

inline move(who, to)
{
	if
	:: to > ep[who] ->
		ep[who] = to;
		report[EP(who, to)] = share[who] + 1
	:: else
	fi
}

inline close_questions(who)
{
	for (k : 0 .. ASKS - 1) {
		if
		:: k < asks && ask[k].from == who -> ask[k].open = false
		:: else
		fi
	}
}

inline moved()
{
	for (k : 0 .. EPOCHS) {
		moved_since[k] = true
	}
}

/* Temporaries don't make states differ. */
inline clear()
{
	i = 0;
	j = 0;
	k = 0;
	sum = 0;
	amount = 0;
	target = 0;
	all = false
}

/* A VM asks a peer for a share; only while the list has it. */
inline do_ask()
{
	select (i : 0 .. N - 1);
	select (j : 0 .. N - 1);
	if
	:: i != j && !lapsed[i] && listed[i] ->
		ask[asks].from = i;
		ask[asks].to = j;
		ask[asks].ep = ep[i];
		ask[asks].open = true;
		asks++
	:: else
	fi
}

/* A VM answers a question, once: it subtracts before the grant exists. */
inline do_give()
{
	select (i : 0 .. ASKS - 1);
	if
	:: i < asks && !lapsed[ask[i].to] ->
		j = ask[i].to;
		target = ask[i].ep;
		move(j, target);
		if
		:: last[j * N + ask[i].from] <= i && ep[j] != 0 &&
		   (ask[i].ep == 0 || ask[i].ep == ep[j]) && MAY_GIVE(j) &&
		   share[j] > 0 && grants < GRANTS ->
			if
			:: amount = 1
			:: amount = share[j]
			fi;
			given[grants].ask = i;
			given[grants].ep = ep[j];
			given[grants].amount = amount;
			grants++;
			moved();
#ifndef KEEP_GIVEN
			share[j] = share[j] - amount;
#endif
			last[j * N + ask[i].from] = i + 1
		:: else
		fi
	:: else
	fi
}

/* The asker takes a grant in while its question is open. */
inline do_accept()
{
	select (i : 0 .. GRANTS - 1);
	if
	:: i < grants && ask[given[i].ask].open &&
	   !lapsed[ask[given[i].ask].from] ->
		j = ask[given[i].ask].from;
#ifndef ACCEPT_TWICE
		ask[given[i].ask].open = false;
#endif
		if
		:: ep[j] == 0 -> ep[j] = given[i].ep
		:: else
		fi;
		if
		:: given[i].ep > ep[j] ->
			target = given[i].ep;
			move(j, target)
#ifdef OLD_EPOCH
		:: given[i].ep <= ep[j] -> share[j] = share[j] + given[i].amount
#else
		:: given[i].ep == ep[j] -> share[j] = share[j] + given[i].amount
		:: given[i].ep < ep[j]
#endif
		fi
	:: else
	fi
}

/* Reads the platform's epoch, and writes the next on the condition of it. */
inline do_claim()
{
	select (i : 0 .. N - 1);
	if
	:: !lapsed[i] && listed[i] && !reading[i] && counting[i] == 0 &&
	   !written[i] && platform < EPOCHS ->
		reading[i] = true;
		read_ep[i] = platform
	:: !lapsed[i] && reading[i] ->
		reading[i] = false;
		if
#ifdef NO_CONDITION
		:: true ->
#else
		:: read_ep[i] == platform ->
#endif
			platform = read_ep[i] + 1;
			moved_since[platform] = false;
			if
			:: read_ep[i] == 0 -> written[i] = true
			:: else ->
				target = platform;
				move(i, target);
				counting[i] = platform;
				if
				:: ep[i] != platform -> counting[i] = 0
				:: else
				fi
			fi
		:: else
		fi;
		read_ep[i] = 0
	:: else
	fi
}

/* The reply to the first epoch's write, or a read that shows its nonce. */
inline do_create()
{
	select (i : 0 .. N - 1);
	if
	:: written[i] && !lapsed[i] ->
		written[i] = false;
		if
		:: ep[i] == 0 ->
			ep[i] = 1;
			share[i] = WHOLE;
			counted[EP(i, 1)] = true
		:: else
		fi
	:: else
	fi
}

/* A recounter's message moves a VM to its epoch. */
inline do_move()
{
	select (i : 0 .. N - 1);
	select (j : 0 .. N - 1);
	if
	:: counting[i] != 0 && !lapsed[i] && !lapsed[j] ->
#ifdef NOT_MOVED
		/* It reports, and goes on in its epoch. */
		if
		:: counting[i] > ep[j] ->
			report[EP(j, counting[i])] = share[j] + 1
		:: else
		fi
#else
		target = counting[i];
		move(j, target)
#endif
	:: else
	fi
}

/* A report reaches the recounter. */
inline do_report()
{
	select (i : 0 .. N - 1);
	select (j : 0 .. N - 1);
	if
	:: counting[i] != 0 && !lapsed[i] && missing[i] == 0 &&
	   report[EP(j, counting[i])] > 0 && !counted[EP(j, counting[i])] ->
		counted[EP(j, counting[i])] = true;
		total[counting[i]] = total[counting[i]] +
				     report[EP(j, counting[i])] - 1
	:: else
	fi
}

/*
 * All have reported or are gone. The platform must then still have this
 * epoch: else a VM could have gone on in a later one, and given there, before
 * it was gone.
 */
inline do_confirm()
{
	select (i : 0 .. N - 1);
	if
	:: counting[i] != 0 && !lapsed[i] && missing[i] == 0 ->
		all = (ep[i] == counting[i]);
#ifndef NO_CONFIRM
		all = all && platform == counting[i];
#endif
		for (k : 0 .. N - 1) {
			if
			:: counted[EP(k, counting[i])]
#ifdef GONE_EARLY
			:: else -> all = all && !listed[k]
#else
			:: else -> all = all && !listed[k] && lapsed[k]
#endif
			fi
		}
		if
		:: all && total[counting[i]] <= WHOLE ->
			missing[i] = WHOLE - total[counting[i]] + 1
		:: else
		fi
	:: else
	fi
}

/* Ends a recount: what nobody reported exists no more. */
inline do_finish()
{
	select (i : 0 .. N - 1);
	if
	:: missing[i] != 0 && !lapsed[i] ->
		if
#ifdef FINISH_LATE
		:: true ->
#else
		:: ep[i] == counting[i] ->
#endif
			share[i] = share[i] + missing[i] - 1;
			check();
			assert(moved_since[ep[i]] || sum == WHOLE)
		:: else
		fi;
#ifndef COUNT_ONCE_MORE
		counting[i] = 0;
#endif
		missing[i] = 0
	:: else
	fi
}

/* The list drops a VM that may live, and has it again. */
inline do_list()
{
	select (i : 0 .. N - 1);
	if
	:: listed[i] && unlists < UNLISTS ->
		listed[i] = false;
		unlists++
	:: !listed[i] -> listed[i] = true
	fi
}

/* Time runs out for a VM without word, or that is not on the list. */
inline do_lapse()
{
	select (i : 0 .. N - 1);
	if
	:: !listed[i] && !lapsed[i] ->
		lapsed[i] = true;
		if
		:: share[i] > 0 -> moved()
		:: else
		fi
	:: else
	fi
}

/* A VM has word of the fleet again: all it held is void. */
inline do_wake()
{
	select (i : 0 .. N - 1);
	if
	:: lapsed[i] && listed[i] ->
		lapsed[i] = false;
#ifndef NO_VOID
		share[i] = 0;
		close_questions(i);
#endif
		reading[i] = false;
#ifndef LIFE_LOST
		counting[i] = 0;
		missing[i] = 0;
#endif
#ifndef CREATE_LATE
		written[i] = false
#endif
	:: else
	fi
}

/* A new incarnation knows nothing; the list does not have it yet. */
inline do_restart()
{
	select (i : 0 .. N - 1);
	if
	:: restarts < RESTARTS ->
		restarts++;
		moved();
		ep[i] = 0;
		share[i] = 0;
		listed[i] = false;
		lapsed[i] = true;
		reading[i] = false;
		written[i] = false;
		counting[i] = 0;
		missing[i] = 0;
		close_questions(i);
		for (k : 0 .. EPOCHS) {
			report[EP(i, k)] = 0;
			counted[EP(i, k)] = false
		}
		for (k : 0 .. N - 1) {
			last[i * N + k] = 0
		}
	:: else
	fi
}

init {
	atomic {
		for (k : 0 .. N - 1) {
			listed[k] = true
		}
	}
	do
	:: atomic { asks < ASKS -> do_ask(); clear() }
	:: atomic { asks > 0 -> do_give(); check(); clear() }
	:: atomic { grants > 0 -> do_accept(); check(); clear() }
	:: atomic { do_claim(); clear() }
	:: atomic { do_create(); check(); clear() }
	:: atomic { do_move(); clear() }
	:: atomic { do_report(); clear() }
	:: atomic { do_confirm(); clear() }
	:: atomic { do_finish(); check(); clear() }
	:: atomic { do_list(); clear() }
	:: atomic { do_lapse(); clear() }
	:: atomic { do_wake(); check(); clear() }
	:: atomic { restarts < RESTARTS -> do_restart(); clear() }
	od
}
