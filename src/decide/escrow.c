#include "decide/escrow.h"

#include <string.h>

#include "decide/escrow_internal.h"

/* Length of one window in which requests are counted. */
#define WINDOW_US (500 * (usec_t)USEC_PER_MSEC)
/* After a start, the request rate is averaged over at least this time. */
#define START_US (20 * (usec_t)USEC_PER_MSEC)
/* The rate estimate falls after this many mean intervals without a request. */
#define IDLE_INTERVALS 4
/* A VM requests more when less than 1/4 of its burst is left. */
#define LOW_DIVISOR 4

static void give_up(struct escrow *b);
static void void_grants(struct escrow *b);
static void roll_window(struct escrow *b, usec_t now);

/*
 * Initializes an expired lease. Request ids start from the incarnation, so that
 * none is used again after a restart.
 */
void escrow_lease_init(struct escrow_lease *lease, uint64_t incarnation)
{
	*lease = (struct escrow_lease){
		.expires_at = INT64_MIN,
		.generation = 1,
		.next_id = incarnation,
	};
}

/*
 * Renews the lease. If it had expired, as after a pause of the VM, all shares
 * held so far become void.
 */
void escrow_lease_renew(struct escrow_lease *lease, usec_t now, usec_t until)
{
	if (now > lease->expires_at)
		lease->generation++;
	if (until > lease->expires_at)
		lease->expires_at = until;
}

/* Initializes a rate limit without a share. */
void escrow_init(struct escrow *b, struct escrow_lease *lease,
		 const struct escrow_limit *limit, usec_t now)
{
	memset(b, 0, sizeof(*b));
	b->no_refund_at = now;
	b->lease = lease;
	b->lease_generation = lease->generation;
	b->limit = *limit;
	b->whole = ESCROW_WHOLE;
	b->accrued_at = now;
	b->window_at = now;
}

/* Initializes a limit of indivisible units, without any yet. */
void escrow_init_units(struct escrow *b, struct escrow_lease *lease,
		       uint32_t units, usec_t now)
{
	const struct escrow_limit none = { 0 };

	escrow_init(b, lease, &none, now);
	b->is_units = true;
	b->whole = units;
}

/* Changes the limit; tokens above the new burst are dropped. */
void escrow_set_limit(struct escrow *b, const struct escrow_limit *limit,
		      usec_t now)
{
	escrow_accrue(b, now);
	b->limit = *limit;
	escrow_accrue(b, now);
}

/* Counts a request, admitted or not, towards the demand. */
void escrow_count_request(struct escrow *b, usec_t now)
{
	roll_window(b, now);
	b->window++;
	b->demand_at = now;
}

/* Takes one token, or one unit; false if there is none. */
bool escrow_take(struct escrow *b, usec_t now)
{
	if (escrow_check_lease(b, now))
		return false;
	if (b->is_units) {
		if (b->in_use >= b->share)
			return false;
		b->in_use++;
		return true;
	}
	escrow_accrue(b, now);
	if (b->tokens < escrow_token(b))
		return false;
	b->tokens -= escrow_token(b);
	return true;
}

/*
 * Refunds what escrow_take() took at "taken_at". If tokens hit the cap or were
 * granted to a peer since then, the token is not refunded: it would not be
 * here had it not been taken, so a refund could exceed the burst by one.
 */
void escrow_refund(struct escrow *b, usec_t taken_at, usec_t now)
{
	if (b->is_units) {
		if (b->in_use > 0)
			b->in_use--;
		return;
	}
	if (escrow_check_lease(b, now))
		return;
	escrow_accrue(b, now);
	if (taken_at < b->no_refund_at)
		return;
	b->tokens += escrow_token(b);
	escrow_accrue(b, now);
}

/*
 * Returns true if this VM should request more: it has less than one token; or
 * there is demand and less than 1/LOW_DIVISOR of its burst is left; or, for
 * units, all of them are in use. Also true if the lease has expired.
 */
bool escrow_needs_more(struct escrow *b, usec_t now)
{
	uint64_t low;

	if (escrow_check_lease(b, now))
		return true;
	if (b->is_units)
		return b->in_use >= b->share;
	escrow_accrue(b, now);
	low = escrow_cap(b, b->share) / LOW_DIVISOR;
	if (b->tokens < escrow_token(b))
		return true;
	return b->tokens < low && escrow_demand_per_s(b, now) > 0;
}

/* Returns true if the lease has expired, so that the VM holds nothing now. */
bool escrow_is_expired(const struct escrow *b, usec_t now)
{
	return now > b->lease->expires_at;
}

/*
 * Returns the time at which this share alone will yield a token, or INT64_MAX
 * if that never happens.
 */
usec_t escrow_next_token_at(const struct escrow *b, usec_t now)
{
	uint64_t per_us = (uint64_t)b->share * b->limit.rate_per_s;

	if (b->is_units || b->lease_generation != b->lease->generation ||
	    now > b->lease->expires_at)
		return INT64_MAX;
	if (b->tokens >= escrow_token(b))
		return now;
	if (per_us == 0 || escrow_cap(b, b->share) < escrow_token(b))
		return INT64_MAX;
	return b->accrued_at +
	       (usec_t)((escrow_token(b) - b->tokens) / per_us) + 1;
}

/*
 * Returns the recent requests per second, from the current window and the
 * corresponding part of the last one. Two corrections make it react before a
 * window ends: after a start only the elapsed time is averaged, and the time
 * since the newest request bounds the result. At least 1 if any request was
 * counted in the two windows.
 */
uint32_t escrow_demand_per_s(const struct escrow *b, usec_t now)
{
	usec_t elapsed = now - b->window_at;
	usec_t idle = now - b->demand_at;
	uint64_t max;
	uint64_t n;

	if (elapsed < 0 || elapsed >= 2 * WINDOW_US)
		return 0;
	if (elapsed >= WINDOW_US)
		n = (uint64_t)b->window * (uint64_t)(2 * WINDOW_US - elapsed) /
		    WINDOW_US;
	else if (b->last_window)
		n = b->window + (uint64_t)b->last_window *
					(uint64_t)(WINDOW_US - elapsed) /
					WINDOW_US;
	else
		n = (uint64_t)b->window * WINDOW_US /
		    (uint64_t)(elapsed > START_US ? elapsed : START_US);
	n = n * USEC_PER_SEC / WINDOW_US;
	max = (uint64_t)IDLE_INTERVALS * USEC_PER_SEC /
	      (uint64_t)(idle > 0 ? idle : 1);
	if (n > max)
		n = max;
	if (n == 0 && (b->window || b->last_window))
		n = 1;
	return n > UINT32_MAX ? UINT32_MAX : (uint32_t)n;
}

/*
 * Enters a later epoch. The share is kept, and is what gets reported. Grants of
 * the former epoch are ignored from now on and are not sent again.
 */
void escrow_enter_epoch(struct escrow *b, uint64_t epoch, usec_t now)
{
	if (epoch <= b->epoch)
		return;
	if (escrow_check_lease(b, now))
		give_up(b);
	b->epoch = epoch;
	b->reported = b->share;
	b->report_acked = false;
	void_grants(b);
}

/*
 * Fills in the report of the share held on entering the epoch. It stays the
 * same for the whole epoch, so it may be sent repeatedly.
 */
void escrow_report(const struct escrow *b, struct escrow_msg *out)
{
	out->type = ESCROW_REPORT;
	out->epoch = b->epoch;
	out->share = b->reported;
	out->tokens = 0;
	out->demand = 0;
}

/* Records that the VM that reconciles this epoch has the report. */
void escrow_report_acked(struct escrow *b, uint64_t epoch)
{
	if (epoch == b->epoch)
		b->report_acked = true;
}

/* Returns true while this epoch's report has yet to be acknowledged. */
bool escrow_report_pending(const struct escrow *b)
{
	return b->reported > 0 && !b->report_acked;
}

/*
 * Takes the whole limit with all tokens. For the VM whose conditional create
 * at the platform made the limit's first epoch: no other VM can hold a share
 * or have used a token.
 */
void escrow_create(struct escrow *b, uint64_t epoch, usec_t now)
{
	if (b->epoch != 0 || escrow_check_lease(b, now))
		return;
	b->epoch = epoch;
	b->share = b->whole;
	b->reported = b->whole;
	b->report_acked = true;
	b->accrued_at = now;
	b->no_refund_at = now;
	b->tokens = escrow_cap(b, b->share);
}

/*
 * Adds the share that reconciliation found missing, without tokens, because its
 * former holder may have used them. Returns false and adds nothing if this VM
 * has entered another epoch, its lease has expired or the sum would exceed the
 * whole.
 */
bool escrow_add_missing(struct escrow *b, uint64_t epoch, uint32_t share,
			usec_t now)
{
	if (escrow_check_lease(b, now) || b->epoch != epoch ||
	    share > b->whole - b->share)
		return false;
	escrow_accrue(b, now);
	b->share += share;
	return true;
}

/* Returns one token in the unit in which tokens are counted. */
uint64_t escrow_token(const struct escrow *b)
{
	return (uint64_t)b->whole * USEC_PER_SEC;
}

/* Returns the most tokens that a share may hold, in the same unit. */
uint64_t escrow_cap(const struct escrow *b, uint32_t share)
{
	return (uint64_t)share * b->limit.burst * USEC_PER_SEC;
}

/* Accrues tokens up to now, at most the share's fraction of the burst. */
void escrow_accrue(struct escrow *b, usec_t now)
{
	uint64_t cap = escrow_cap(b, b->share);
	unsigned __int128 sum = b->tokens;
	bool later = now > b->accrued_at;

	if (later) {
		sum += (unsigned __int128)b->share * b->limit.rate_per_s *
		       (uint64_t)(now - b->accrued_at);
		b->accrued_at = now;
	}
	if (sum >= cap) {
		sum = cap;
		b->no_refund_at = later ? now : now + 1;
	}
	b->tokens = (uint64_t)sum;
}

/*
 * Gives up the share if the lease has expired, or has expired and been renewed
 * since the share was received. Returns true if the lease is expired now.
 */
bool escrow_check_lease(struct escrow *b, usec_t now)
{
	if (b->lease_generation == b->lease->generation &&
	    now <= b->lease->expires_at)
		return false;
	give_up(b);
	if (now > b->lease->expires_at)
		return true;
	b->lease_generation = b->lease->generation;
	b->no_refund_at = now;
	return false;
}

/* Returns the smallest share that can ever hold one token. */
uint32_t escrow_min_share(const struct escrow *b)
{
	uint32_t burst = b->limit.burst ? b->limit.burst : 1;

	return (b->whole + burst - 1) / burst;
}

/* Drops the share, its tokens, all open requests and all kept grants. */
static void give_up(struct escrow *b)
{
	b->no_refund_at = INT64_MAX;
	b->share = 0;
	b->tokens = 0;
	memset(b->asks, 0, sizeof(b->asks));
	void_grants(b);
}

/*
 * Empties the kept grants. Their ids stay, so that a repeated request that was
 * already granted gets nothing more.
 */
static void void_grants(struct escrow *b)
{
	uint32_t i;

	for (i = 0; i < ESCROW_GRANTS_KEPT; i++) {
		b->grants[i].share = 0;
		b->grants[i].tokens = 0;
	}
}

/* Starts a new demand window if the current one is over. */
static void roll_window(struct escrow *b, usec_t now)
{
	usec_t elapsed = now - b->window_at;

	if (elapsed < WINDOW_US)
		return;
	b->last_window = elapsed < 2 * WINDOW_US ? b->window : 0;
	b->window = 0;
	b->window_at = elapsed < 2 * WINDOW_US ? b->window_at + WINDOW_US : now;
}
