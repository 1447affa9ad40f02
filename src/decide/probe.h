#ifndef DECIDE_PROBE_H
#define DECIDE_PROBE_H

#include "decide/types.h"

struct probe_policy {
	usec_t busy_us;	  /* replicas, while writes wait for confirmation */
	usec_t active_us; /* groups in use */
	usec_t idle_us;	  /* groups without a request for active_for_us */
	usec_t active_for_us;
	usec_t reply_us;       /* then the probe is lost */
	usec_t backoff_max_us; /* databases that do not answer */
};

/* Probes of one database by one VM. */
struct probe {
	usec_t asked_at; /* of the probe under way; 0: none */
	usec_t last_at;	 /* the last question of any kind that was answered */
	usec_t tried_at; /* the last probe sent */
	uint32_t misses; /* lost ones in a row */
	usec_t unanswered_at; /* first question since the last answer; 0: none
			       */
};

/* What the group needs now. */
struct probe_need {
	uint32_t confirms; /* writes that wait for confirmation */
	bool urgent;	   /* a promotion or hand-over is under way */
	usec_t used_at;	   /* the group's last request */
};

/* When the next probe is due; in the past or now: send it. */
usec_t probe_due(const struct probe *p, const struct probe_policy *policy,
		 const struct probe_need *need, bool primary, usec_t now);
void probe_sent(struct probe *p, usec_t now);
/* Any answer with a status, also on the data path, spares a probe. */
void probe_heard(struct probe *p, usec_t asked_at);
/* True once, when the probe under way is overdue. */
bool probe_expire(struct probe *p, const struct probe_policy *policy,
		  usec_t now);

#endif
