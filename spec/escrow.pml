/*
 * Models the shares of one limit: transfer requests, grants, reconciliations
 * ("recounts"), and VMs that are paused, restarted or dropped from the
 * platform's list.
 *
 * Requests and grants are records that are never removed: a VM may process one
 * at once, late, twice or never, which covers loss, duplication, delay and
 * reordering. A VM that takes no step is paused. "lapsed" tells that the time
 * for which the shares of a VM are valid has run out. A VM may be considered
 * gone only after that, as gone_after is longer. A report is kept per epoch, as
 * its message may be late. A VM that has entered a new epoch gives nothing
 * until the recounting VM has its report: otherwise it could be gone while its
 * grant is still valid, and the granted amount be counted as missing.
 *
 * Proved: the sum of the valid shares never exceeds the whole; after a
 * recount during which no share moved or lapsed, the sum is the whole.
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
#define VM_EPOCH(v, e) ((v) * (EPOCHS + 1) + (e))

#ifdef GIVE_UNCOUNTED
#define MAY_GIVE(v) true
#else
#define MAY_GIVE(v) (report[VM_EPOCH(v, epoch[v])] <= 1 || \
	counted[VM_EPOCH(v, epoch[v])])
#endif

typedef transfer_request {
	byte source;
	byte dest;
	byte epoch;  /* the requester's epoch; 0: it knows none */
	bool open;
};

typedef grant {
	byte request;
	byte epoch;
	byte amount;
};

byte epoch[N];
byte share[N];
bool listed[N];
bool lapsed[N];
bool is_claiming[N];	/* between the read and the write of a claim */
byte read_epoch[N];
bool is_creating[N];	/* the first epoch is written, the reply is not in */
byte recounting[N];	/* epoch that this VM recounts; 0: none */
byte missing[N];	/* missing share + 1, which it may add; 0: unknown */
byte report[N * (EPOCHS + 1)];	/* share + 1; 0: none */
bool counted[N * (EPOCHS + 1)]; /* by the recounting VM, which told the VM so */
byte total[EPOCHS + 1];		/* sum of the counted reports */
transfer_request request[ASKS];
byte requests;
grant given[GRANTS];
byte grants;
byte last_answered[N * N];	/* last request of a peer that a VM answered, + 1 */
byte platform;		/* epoch at the platform */
byte unlists;
byte restarts;
bool moved_since[EPOCHS + 1]; /* a share moved or lapsed since its claim */
byte i, j, k, sum, amount, target;
bool all_accounted;

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

inline enter_epoch(vm, new_epoch)
{
	if
	:: new_epoch > epoch[vm] ->
		epoch[vm] = new_epoch;
		report[VM_EPOCH(vm, new_epoch)] = share[vm] + 1
	:: else
	fi
}

inline close_requests(vm)
{
	for (k : 0 .. ASKS - 1) {
		if
		:: k < requests && request[k].source == vm -> request[k].open = false
		:: else
		fi
	}
}

inline mark_moved()
{
	for (k : 0 .. EPOCHS) {
		moved_since[k] = true
	}
}

/* Resets the temporaries, so that they do not multiply the states. */
inline clear_temporaries()
{
	i = 0;
	j = 0;
	k = 0;
	sum = 0;
	amount = 0;
	target = 0;
	all_accounted = false
}

/* A VM requests a share from a peer if the platform lists the requesting VM. */
inline do_ask()
{
	select (i : 0 .. N - 1);
	select (j : 0 .. N - 1);
	if
	:: i != j && !lapsed[i] && listed[i] ->
		request[requests].source = i;
		request[requests].dest = j;
		request[requests].epoch = epoch[i];
		request[requests].open = true;
		requests++
	:: else
	fi
}

/* A VM answers a request once, and subtracts the grant from its share first. */
inline do_give()
{
	select (i : 0 .. ASKS - 1);
	if
	:: i < requests && !lapsed[request[i].dest] ->
		j = request[i].dest;
		target = request[i].epoch;
		enter_epoch(j, target);
		if
		:: last_answered[j * N + request[i].source] <= i && epoch[j] != 0 &&
		   (request[i].epoch == 0 || request[i].epoch == epoch[j]) &&
		   MAY_GIVE(j) &&
		   share[j] > 0 && grants < GRANTS ->
			if
			:: amount = 1
			:: amount = share[j]
			fi;
			given[grants].request = i;
			given[grants].epoch = epoch[j];
			given[grants].amount = amount;
			grants++;
			mark_moved();
#ifndef KEEP_GIVEN
			share[j] = share[j] - amount;
#endif
			last_answered[j * N + request[i].source] = i + 1
		:: else
		fi
	:: else
	fi
}

/* The requester accepts a grant while its request is open. */
inline do_accept()
{
	select (i : 0 .. GRANTS - 1);
	if
	:: i < grants && request[given[i].request].open &&
	   !lapsed[request[given[i].request].source] ->
		j = request[given[i].request].source;
#ifndef ACCEPT_TWICE
		request[given[i].request].open = false;
#endif
		if
		:: epoch[j] == 0 -> epoch[j] = given[i].epoch
		:: else
		fi;
		if
		:: given[i].epoch > epoch[j] ->
			target = given[i].epoch;
			enter_epoch(j, target)
#ifdef OLD_EPOCH
		:: given[i].epoch <= epoch[j] -> share[j] = share[j] + given[i].amount
#else
		:: given[i].epoch == epoch[j] -> share[j] = share[j] + given[i].amount
		:: given[i].epoch < epoch[j]
#endif
		fi
	:: else
	fi
}

/* Reads the epoch at the platform and writes the next one conditionally. */
inline do_claim()
{
	select (i : 0 .. N - 1);
	if
	:: !lapsed[i] && listed[i] && !is_claiming[i] && recounting[i] == 0 &&
	   !is_creating[i] && platform < EPOCHS ->
		is_claiming[i] = true;
		read_epoch[i] = platform
	:: !lapsed[i] && is_claiming[i] ->
		is_claiming[i] = false;
		if
#ifdef NO_CONDITION
		:: true ->
#else
		:: read_epoch[i] == platform ->
#endif
			platform = read_epoch[i] + 1;
			moved_since[platform] = false;
			if
			:: read_epoch[i] == 0 -> is_creating[i] = true
			:: else ->
				target = platform;
				enter_epoch(i, target);
				recounting[i] = platform;
				if
				:: epoch[i] != platform -> recounting[i] = 0
				:: else
				fi
			fi
		:: else
		fi;
		read_epoch[i] = 0
	:: else
	fi
}

/*
 * The VM that wrote the first epoch learns it, from the reply to the write or
 * from a read that shows its nonce. It then holds the whole limit, unless it
 * has entered an epoch since.
 */
inline do_create()
{
	select (i : 0 .. N - 1);
	if
	:: is_creating[i] && !lapsed[i] ->
		is_creating[i] = false;
		if
		:: epoch[i] == 0 ->
			epoch[i] = 1;
			share[i] = WHOLE;
			counted[VM_EPOCH(i, 1)] = true
		:: else
		fi
	:: else
	fi
}

/*
 * A VM that runs a recount makes another VM enter the epoch of that recount,
 * unless that VM has entered it or a later one.
 */
inline do_move()
{
	select (i : 0 .. N - 1);
	select (j : 0 .. N - 1);
	if
	:: recounting[i] != 0 && !lapsed[i] && !lapsed[j] ->
#ifdef NOT_MOVED
		/* It reports, but stays in its epoch. */
		if
		:: recounting[i] > epoch[j] ->
			report[VM_EPOCH(j, recounting[i])] = share[j] + 1
		:: else
		fi
#else
		target = recounting[i];
		enter_epoch(j, target)
#endif
	:: else
	fi
}

/* A VM's report reaches the VM that runs the recount, which counts it once. */
inline do_report()
{
	select (i : 0 .. N - 1);
	select (j : 0 .. N - 1);
	if
	:: recounting[i] != 0 && !lapsed[i] && missing[i] == 0 &&
	   report[VM_EPOCH(j, recounting[i])] > 0 &&
	   !counted[VM_EPOCH(j, recounting[i])] ->
		counted[VM_EPOCH(j, recounting[i])] = true;
		total[recounting[i]] = total[recounting[i]] +
				     report[VM_EPOCH(j, recounting[i])] - 1
	:: else
	fi
}

/*
 * All VMs have reported or are gone. The platform must then still have this
 * epoch: otherwise a VM could have entered a later epoch and given a share
 * there before it was gone.
 */
inline do_confirm()
{
	select (i : 0 .. N - 1);
	if
	:: recounting[i] != 0 && !lapsed[i] && missing[i] == 0 ->
		all_accounted = (epoch[i] == recounting[i]);
#ifndef NO_CONFIRM
		all_accounted = all_accounted && platform == recounting[i];
#endif
		for (k : 0 .. N - 1) {
			if
			:: counted[VM_EPOCH(k, recounting[i])]
#ifdef GONE_EARLY
			:: else -> all_accounted = all_accounted && !listed[k]
#else
			:: else -> all_accounted = all_accounted && !listed[k] && lapsed[k]
#endif
			fi
		}
		if
		:: all_accounted && total[recounting[i]] <= WHOLE ->
			missing[i] = WHOLE - total[recounting[i]] + 1
		:: else
		fi
	:: else
	fi
}

/*
 * Ends a recount: the VM that runs it adds the part of the limit that no VM
 * reported to its own share.
 */
inline do_finish()
{
	select (i : 0 .. N - 1);
	if
	:: missing[i] != 0 && !lapsed[i] ->
		if
#ifdef FINISH_LATE
		:: true ->
#else
		:: epoch[i] == recounting[i] ->
#endif
			share[i] = share[i] + missing[i] - 1;
			check();
			assert(moved_since[epoch[i]] || sum == WHOLE)
		:: else
		fi;
#ifndef COUNT_ONCE_MORE
		recounting[i] = 0;
#endif
		missing[i] = 0
	:: else
	fi
}

/* The platform's list drops a VM that may be running, or lists it again. */
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

/* The shares of a VM that is not on the list lapse. */
inline do_lapse()
{
	select (i : 0 .. N - 1);
	if
	:: !listed[i] && !lapsed[i] ->
		lapsed[i] = true;
		if
		:: share[i] > 0 -> mark_moved()
		:: else
		fi
	:: else
	fi
}

/* A lapsed VM is on the list again: the share that it held is void. */
inline do_wake()
{
	select (i : 0 .. N - 1);
	if
	:: lapsed[i] && listed[i] ->
		lapsed[i] = false;
#ifndef NO_VOID
		share[i] = 0;
		close_requests(i);
#endif
		is_claiming[i] = false;
#ifndef LIFE_LOST
		recounting[i] = 0;
		missing[i] = 0;
#endif
#ifndef CREATE_LATE
		is_creating[i] = false
#endif
	:: else
	fi
}

/* A VM restarts without any state and is not on the platform's list yet. */
inline do_restart()
{
	select (i : 0 .. N - 1);
	if
	:: restarts < RESTARTS ->
		restarts++;
		mark_moved();
		epoch[i] = 0;
		share[i] = 0;
		listed[i] = false;
		lapsed[i] = true;
		is_claiming[i] = false;
		is_creating[i] = false;
		recounting[i] = 0;
		missing[i] = 0;
		close_requests(i);
		for (k : 0 .. EPOCHS) {
			report[VM_EPOCH(i, k)] = 0;
			counted[VM_EPOCH(i, k)] = false
		}
		for (k : 0 .. N - 1) {
			last_answered[i * N + k] = 0
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
	:: atomic { requests < ASKS -> do_ask(); clear_temporaries() }
	:: atomic { requests > 0 -> do_give(); check(); clear_temporaries() }
	:: atomic { grants > 0 -> do_accept(); check(); clear_temporaries() }
	:: atomic { do_claim(); clear_temporaries() }
	:: atomic { do_create(); check(); clear_temporaries() }
	:: atomic { do_move(); clear_temporaries() }
	:: atomic { do_report(); clear_temporaries() }
	:: atomic { do_confirm(); clear_temporaries() }
	:: atomic { do_finish(); check(); clear_temporaries() }
	:: atomic { do_list(); clear_temporaries() }
	:: atomic { do_lapse(); clear_temporaries() }
	:: atomic { do_wake(); check(); clear_temporaries() }
	:: atomic { restarts < RESTARTS -> do_restart(); clear_temporaries() }
	od
}
