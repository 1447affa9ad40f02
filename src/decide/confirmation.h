#ifndef DECIDE_CONFIRMATION_H
#define DECIDE_CONFIRMATION_H

#include <stdint.h>

#include "decide/types.h"

/*
 * The newest read of the configuration by any VM, and how VMs tell each other
 * of it. A read confirms the configuration of each VM that has what the reading
 * VM had.
 *
 * In a large fleet the VM that read tells all VMs of its failure domain and all
 * readers of the fleet (decide/reader_choice); the first readers of the other
 * domains tell their own. What is lost is made up for by heartbeats, which pass
 * on the newest known read. A read has an id and is taken once, and each VM
 * that tells it adds to its age what a datagram may take, so that passing it on
 * does not make it younger. In a small fleet VMs tell only their own reads, in
 * heartbeats.
 */

/*
 * Added to an age for each datagram that tells it: the longest usual one-way
 * delay. One that takes longer makes the age too short by the difference.
 */
#define CONFIRMATION_TRANSIT_US (40 * USEC_PER_MSEC)
/*
 * A read is told over at most this many datagrams, which bounds the sum of
 * their delays beyond the allowance. Gossip needs about the logarithm of the
 * fleet.
 */
#define CONFIRMATION_HOPS_MAX 8
/* VMs of a domain that tell it of reads of other domains: the first readers. */
#define CONFIRMATION_RELAYS 2
/*
 * Shortest interval between two reads that a VM sends on, which bounds its
 * datagrams: those in between are left to heartbeats.
 */
#define CONFIRMATION_SEND_INTERVAL_US (250 * USEC_PER_MSEC)
/* An older read confirms nothing and is not sent on. */
#define CONFIRMATION_USE_MAX_US (3 * USEC_PER_SEC)
/* A longer age that is told counts as an error. */
#define CONFIRMATION_AGE_MAX_MS (600 * UINT64_C(1000))
/*
 * Ids of taken reads that a VM remembers; there are one or two reads a second,
 * so a datagram would have to be late by many seconds to be taken again.
 */
#define CONFIRMATION_TAKEN_MAX 32

/* A version of the configuration. */
struct confirmation_data {
	uint64_t version;  /* 0: none */
	uint64_t contents; /* hash */
};

/* Identifies a read. */
struct confirmation_id {
	uint32_t vm;	 /* hash of the name of the VM that read */
	uint32_t number; /* random; 0: no read */
};

/* A read as this VM knows it. */
struct confirmation_read {
	struct confirmation_id id;
	struct confirmation_data data; /* what the reading VM had then */
	usec_t began_at;	       /* on this VM's clock */
	uint32_t hops; /* datagrams that have told it; 0: this VM's own */
};

/* A read as one VM tells it to another. */
struct confirmation_told {
	struct confirmation_id id;
	struct confirmation_data data;
	uint64_t age_ms; /* since it began, when it was told */
	uint32_t hops;	 /* datagrams before this one */
};

struct confirmation {
	struct confirmation_read newest; /* by any VM */
	struct confirmation_read own;	 /* newest of this VM */
	struct confirmation_id taken[CONFIRMATION_TAKEN_MAX];
	uint32_t n_taken; /* all that were ever taken */
	usec_t sent_at;	  /* when this VM last sent a read on; 0: never */
};

/* Whom a VM sends the newest read to, beside its heartbeats. */
enum confirmation_audience {
	CONFIRMATION_TO_NOBODY,
	CONFIRMATION_TO_DOMAIN,
	CONFIRMATION_TO_DOMAIN_AND_READERS,
};

/* What the choice of the audience depends on. */
struct confirmation_view {
	bool is_large;		/* the fleet spreads news by gossip */
	bool is_relay;		/* this VM is a first reader of its domain */
	bool is_read_in_domain; /* the reading VM is in this VM's domain */
};

/* Takes note of a read of this VM. Returns true if it is the newest. */
bool confirmation_add_own(struct confirmation *c,
			  const struct confirmation_read *read);
/*
 * Takes note of a read that another VM told, if it is newer and confirms what
 * this VM has ("held"). Returns true if it is the newest now.
 */
bool confirmation_add_told(struct confirmation *c,
			   const struct confirmation_told *told,
			   const struct confirmation_data *held, bool is_large,
			   usec_t now);
/*
 * Returns whom to send the newest read to, and counts it as sent. Called when a
 * read has become the newest.
 */
enum confirmation_audience confirmation_send(struct confirmation *c,
					     const struct confirmation_view *v,
					     usec_t now);
/* Returns the newest read as it is told at "now", e.g. in a datagram. */
struct confirmation_told confirmation_tell(const struct confirmation *c,
					   usec_t now);
/*
 * Returns the read that a heartbeat tells, with "held" in place of the data
 * that was read; its id has the number 0 if there is none to tell.
 */
struct confirmation_told
confirmation_tell_held(const struct confirmation *c,
		       const struct confirmation_data *held, bool is_large,
		       usec_t now);

#endif
