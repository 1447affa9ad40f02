/*
 * Models one configuration object that holds one key, with two operators, lost
 * replies, a platform outage, VMs that get versions from the platform and from
 * peers, and a VM that starts from a stale peer.
 *
 * Each version of the object states whether the key is live. A VM applies a
 * version from the platform or from a peer only if it is newer than its own. A
 * change is a conditional write on the version that was read. After a lost
 * reply the operator's VM reads the object, which contains the ids of changes
 * and so shows whether the change took effect. A change is accepted once a VM
 * of another failure domain has it. Each VM is a failure domain of its own.
 *
 * Time is abstracted: is_fresh tells that the VM has platform state of at most
 * keys_fresh ago, itself or through a peer. A VM without it serves only while
 * it is in contact with all domains except at most one; the VMs of that one
 * are then cut off from each other and from the platform. bound_passed tells
 * that the time bound after an accepted withdrawal has passed.
 *
 * A peer's answer counts as contact only if the peer may serve itself: otherwise
 * two VMs that were cut off or just started could vouch for each other.
 *
 * Assumed: the only other VM that knows an accepted withdrawal is not replaced
 * within the bound while the operator's VM is cut off and the platform is down.
 *
 * Proved: the version at a VM never decreases; no accepted change is lost
 * through a concurrent one; each operator is told the real outcome; once the
 * bound after an accepted withdrawal has passed, every VM refuses the key.
 */
/* mutants: DOWNWARDS NO_CONDITION TRUST_LOST ACCEPT_ALONE SERVE_STALE STALE_START OWN_WORD */
/* spin: -DN=3 -DVERSIONS=3 */
#define OPS	2
#define IDLE	0
#define WRITING 1
#define UNSURE	2
#define WRITTEN 3
#define DONE	4
#define CONFLICT 5

bool platform_up = true;		/* the platform answers */
byte version;		/* at the platform; 0: none */
bool live[VERSIONS + 1];	/* the key is live in this version */
bool has_change[(VERSIONS + 1) * OPS]; /* of the operator, in the version */
byte vm_version[N];		/* version at the VM */
bool key_refused[N];		/* the VM has seen the withdrawal, which is final */
bool is_fresh[N];		/* has recent platform state */
bool in_contact[N * N];	/* i has a recent, complete answer of j */
bool is_cut_off[N];		/* reaches neither other VMs nor the platform */
byte state[OPS];
byte read_version[OPS];		/* version that the operator's VM had read */
byte wrote_version[OPS];
byte withdrawn_version;		/* version of the accepted withdrawal; 0: none */
bool bound_passed;
byte outages, cuts, starts;
byte i, j, k, n;

inline clear_temporaries()
{
	i = 0;
	j = 0;
	k = 0;
	n = 0
}

/* A VM applies a version if it is newer than its own. */
inline apply_version(vm, new_version)
{
	if
#ifdef DOWNWARDS
	:: new_version != vm_version[vm] && new_version > 0 ->
#else
	:: new_version > vm_version[vm] ->
#endif
		assert(new_version > vm_version[vm]);
		vm_version[vm] = new_version;
		if
		:: !live[new_version] -> key_refused[vm] = true
		:: live[new_version]
		fi
	:: else
	fi
}

/* The VM of an operator reads the object. Operator i uses VM i. */
inline do_read()
{
	select (i : 0 .. OPS - 1);
	if
	:: platform_up && !is_cut_off[i] && state[i] == IDLE &&
	   version < VERSIONS ->
		read_version[i] = version;
		state[i] = WRITING
	:: else
	fi
}

/*
 * The VM of an operator writes its change. Operator 1 withdraws the key;
 * operator 0 changes something else.
 */
inline do_write()
{
	select (i : 0 .. OPS - 1);
	if
	:: platform_up && !is_cut_off[i] && state[i] == WRITING ->
		if
#ifdef NO_CONDITION
		:: version < VERSIONS ->
#else
		:: read_version[i] == version && version < VERSIONS ->
#endif
			version++;
			live[version] = (i == 0 && (read_version[i] == 0 || live[read_version[i]]));
			has_change[version * OPS + i] = true;
			has_change[version * OPS + 1 - i] = has_change[read_version[i] * OPS + 1 - i];
			wrote_version[i] = version;
			if
			:: state[i] = WRITTEN
			:: state[i] = UNSURE
			fi
		:: else -> state[i] = CONFLICT
		fi
	:: platform_up && !is_cut_off[i] && state[i] == WRITING ->
		state[i] = UNSURE /* the request is lost */
	:: else
	fi
}

/* After a lost reply, a read shows whether the change took effect. */
inline do_resolve()
{
	select (i : 0 .. OPS - 1);
	if
	:: platform_up && !is_cut_off[i] && state[i] == UNSURE ->
#ifdef TRUST_LOST
		wrote_version[i] = version;
		state[i] = WRITTEN
#else
		if
		:: has_change[version * OPS + i] ->
			wrote_version[i] = version;
			state[i] = WRITTEN
		:: else -> state[i] = CONFLICT
		fi
#endif
	:: else
	fi
}

/* A change is accepted once a VM of another domain has it. */
inline do_accept()
{
	select (i : 0 .. OPS - 1);
	if
	:: state[i] == WRITTEN ->
		j = wrote_version[i];
		apply_version(i, j);
		n = 0;
		for (k : 0 .. N - 1) {
			if
			:: k != i && vm_version[k] >= wrote_version[i] -> n++
			:: else
			fi
		}
#ifdef ACCEPT_ALONE
		n = 1;
#endif
		if
		:: n > 0 ->
			state[i] = DONE;
			assert(has_change[wrote_version[i] * OPS + i]);
			assert(has_change[version * OPS + i]);
			if
			:: i == 1 -> withdrawn_version = wrote_version[i]
			:: else
			fi
		:: else
		fi
	:: else
	fi
}

/* A VM gets the state of the platform, from a list or a watch. */
inline do_watch()
{
	select (i : 0 .. N - 1);
	if
	:: platform_up && !is_cut_off[i] ->
		apply_version(i, version);
		is_fresh[i] = true
	:: else
	fi
}

/* A VM gets a peer's version and, if that is recent, its freshness. */
inline do_gossip()
{
	select (i : 0 .. N - 1);
	select (j : 0 .. N - 1);
	if
	:: i != j && !is_cut_off[i] && !is_cut_off[j] ->
		n = vm_version[j];
		apply_version(i, n);
		n = 0;
		for (k : 0 .. N - 1) {
			if
			:: k != j && !in_contact[j * N + k] -> n++
			:: else
			fi
		}
#ifndef STALE_START
		in_contact[i * N + j] = is_fresh[j] || n <= 1;
#else
		in_contact[i * N + j] = true;
#endif
#ifdef OWN_WORD
		is_fresh[i] = true;
#else
		is_fresh[i] = is_fresh[i] || (is_fresh[j] && vm_version[i] >= vm_version[j]);
#endif
	:: else
	fi
}

/* A VM restarts without any state. */
inline do_start()
{
	if
	:: starts < 1 && (state[1] != DONE || bound_passed) ->
		starts++;
		vm_version[N - 1] = 0;
		key_refused[N - 1] = false;
		is_fresh[N - 1] = false;
		for (k : 0 .. N - 1) {
			in_contact[(N - 1) * N + k] = false
		}
	:: else
	fi
}

inline do_outage()
{
	if
	:: platform_up && outages < 1 ->
		platform_up = false;
		outages++
	:: !platform_up -> platform_up = true
	:: else
	fi
}

inline do_cut()
{
	select (i : 0 .. N - 1);
	if
	:: !is_cut_off[i] && cuts < 1 ->
		is_cut_off[i] = true;
		cuts++
	:: is_cut_off[i] -> is_cut_off[i] = false
	:: else
	fi
}

/*
 * The time keys_fresh has passed since a withdrawal was accepted. A VM with a
 * version from before the withdrawal no longer counts as fresh. All VMs that
 * are not cut off have polled each other and have the newest version of them.
 */
inline do_pass()
{
	if
	:: withdrawn_version != 0 && !bound_passed ->
		bound_passed = true;
		for (k : 0 .. N - 1) {
			if
			:: vm_version[k] < withdrawn_version -> is_fresh[k] = false
			:: else
			fi
		}
		n = 0;
		for (k : 0 .. N - 1) {
			if
			:: !is_cut_off[k] && vm_version[k] > n -> n = vm_version[k]
			:: else
			fi
		}
		for (k : 0 .. N - 1) {
			if
			:: !is_cut_off[k] -> apply_version(k, n)
			:: else
			fi;
			for (j : 0 .. N - 1) {
				in_contact[k * N + j] = !is_cut_off[k] && !is_cut_off[j]
			}
		}
	:: else
	fi
}

/* A VM that would accept requests now must not accept the withdrawn key. */
inline do_use()
{
	select (i : 0 .. N - 1);
	n = 0;
	for (k : 0 .. N - 1) {
		if
		:: k != i && !in_contact[i * N + k] -> n++
		:: else
		fi
	}
	if
#ifdef SERVE_STALE
	:: bound_passed && vm_version[i] > 0 ->
#else
	/* Fresh, or in contact with all domains except at most one. */
	:: bound_passed && vm_version[i] > 0 && (is_fresh[i] || n <= 1) ->
#endif
		assert(key_refused[i] || !live[vm_version[i]])
	:: else
	fi
}

init {
	atomic {
		version = 1;
		live[1] = true;
		for (k : 0 .. N - 1) {
			vm_version[k] = 1;
			is_fresh[k] = true;
			for (j : 0 .. N - 1) {
				in_contact[k * N + j] = true
			}
		}
		clear_temporaries()
	}
	do
	:: atomic { do_read(); clear_temporaries() }
	:: atomic { do_write(); clear_temporaries() }
	:: atomic { do_resolve(); clear_temporaries() }
	:: atomic { do_accept(); clear_temporaries() }
	:: atomic { do_watch(); clear_temporaries() }
	:: atomic { do_gossip(); clear_temporaries() }
	:: atomic { skip; do_start(); clear_temporaries() }
	:: atomic { skip; do_outage(); clear_temporaries() }
	:: atomic { do_cut(); clear_temporaries() }
	:: atomic { skip; do_pass(); clear_temporaries() }
	:: atomic { do_use(); clear_temporaries() }
	od
}
