#include "decide/escrow.h"

#include <string.h>

#include "decide/escrow_own.h"

#define WINDOW_US (500 * (usec_t)USEC_PER_MSEC)
/* A demand that just began is taken over no less than this. */
#define START_US (20 * (usec_t)USEC_PER_MSEC)
/* So many mean gaps without a request say that the demand has fallen. */
#define PAUSE_GAPS 4
/* A bucket below one part in so many of its burst asks for more. */
#define LOW_PARTS 4

static void give_up(struct escrow *b);
static void void_given(struct escrow *b);
static void roll_window(struct escrow *b, usec_t now);

/* Ids begin with the incarnation, so that none is used again after a start. */
void escrow_vm_init(struct escrow_vm *vm, uint64_t incarnation)
{
	*vm = (struct escrow_vm){
		.good_until = INT64_MIN,
		.life = 1,
		.next_id = incarnation,
	};
}

/*
 * Extends the time for which shares are good. If it had run out, as after a
 * pause, all shares held so far are void.
 */
void escrow_vm_extend(struct escrow_vm *vm, usec_t now, usec_t until)
{
	if (now > vm->good_until)
		vm->life++;
	if (until > vm->good_until)
		vm->good_until = until;
}

/* A bucket with no share yet. */
void escrow_init(struct escrow *b, struct escrow_vm *vm,
		 const struct escrow_limit *limit, usec_t now)
{
	memset(b, 0, sizeof(*b));
	b->cut_at = now;
	b->vm = vm;
	b->life = vm->life;
	b->limit = *limit;
	b->whole = ESCROW_ONE;
	b->at = now;
	b->window_at = now;
}

/* A bucket of whole units with none yet. */
void escrow_init_units(struct escrow *b, struct escrow_vm *vm, uint32_t units,
		       usec_t now)
{
	const struct escrow_limit none = { 0 };

	escrow_init(b, vm, &none, now);
	b->units = true;
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
void escrow_demand(struct escrow *b, usec_t now)
{
	roll_window(b, now);
	b->window++;
	b->demand_at = now;
}

/* Takes one token, or one unit; false if there is none. */
bool escrow_take(struct escrow *b, usec_t now)
{
	if (escrow_lapsed(b, now))
		return false;
	if (b->units) {
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
 * Gives back what escrow_take() took at "taken_at". A token that would have
 * been cut or given away since, had it not been taken, stays lost: else a
 * refund could let through one more than the burst.
 */
void escrow_put_back(struct escrow *b, usec_t taken_at, usec_t now)
{
	if (b->units) {
		if (b->in_use > 0)
			b->in_use--;
		return;
	}
	if (escrow_lapsed(b, now))
		return;
	escrow_accrue(b, now);
	if (taken_at < b->cut_at)
		return;
	b->tokens += escrow_token(b);
	escrow_accrue(b, now);
}

/*
 * Should this VM ask for more? With requests coming, and less than a part of
 * its burst, or than one token, left; with all of its units in use.
 */
bool escrow_short(struct escrow *b, usec_t now)
{
	uint64_t low;

	if (escrow_lapsed(b, now))
		return true;
	if (b->units)
		return b->in_use >= b->share;
	escrow_accrue(b, now);
	low = escrow_cap(b, b->share) / LOW_PARTS;
	if (b->tokens < escrow_token(b))
		return true;
	return b->tokens < low && escrow_demand_per_s(b, now) > 0;
}

/* Has the VM had no word of the fleet, so that it holds nothing now? */
bool escrow_lapsed_now(const struct escrow *b, usec_t now)
{
	return now > b->vm->good_until;
}

/* When one token will be there from this share alone; INT64_MAX if never. */
usec_t escrow_next_at(const struct escrow *b, usec_t now)
{
	uint64_t per_us = (uint64_t)b->share * b->limit.rate_per_s;

	if (b->units || b->life != b->vm->life || now > b->vm->good_until)
		return INT64_MAX;
	if (b->tokens >= escrow_token(b))
		return now;
	if (per_us == 0 || escrow_cap(b, b->share) < escrow_token(b))
		return INT64_MAX;
	return b->at + (usec_t)((escrow_token(b) - b->tokens) / per_us) + 1;
}

/*
 * Requests a second lately: the current window and part of the last one. A
 * pause since the newest request, or a start after none, tells before the
 * windows do.
 */
uint32_t escrow_demand_per_s(const struct escrow *b, usec_t now)
{
	usec_t into = now - b->window_at;
	usec_t pause = now - b->demand_at;
	uint64_t most;
	uint64_t n;

	if (into < 0 || into >= 2 * WINDOW_US)
		return 0;
	if (into >= WINDOW_US)
		n = (uint64_t)b->window * (uint64_t)(2 * WINDOW_US - into) /
		    WINDOW_US;
	else if (b->last_window)
		n = b->window + (uint64_t)b->last_window *
					(uint64_t)(WINDOW_US - into) /
					WINDOW_US;
	else
		n = (uint64_t)b->window * WINDOW_US /
		    (uint64_t)(into > START_US ? into : START_US);
	n = n * USEC_PER_SEC / WINDOW_US;
	most = (uint64_t)PAUSE_GAPS * USEC_PER_SEC /
	       (uint64_t)(pause > 0 ? pause : 1);
	if (n > most)
		n = most;
	if (n == 0 && (b->window || b->last_window))
		n = 1;
	return n > UINT32_MAX ? UINT32_MAX : (uint32_t)n;
}

/*
 * Moves to a later epoch. The share held counts on and is what is reported;
 * answers of the former epoch count no more, nor are they given again.
 */
void escrow_move(struct escrow *b, uint64_t epoch, usec_t now)
{
	if (epoch <= b->epoch)
		return;
	if (escrow_lapsed(b, now))
		give_up(b);
	b->epoch = epoch;
	b->reported = b->share;
	b->counted = false;
	void_given(b);
}

/* What this VM held on moving to its epoch; the same whenever it is asked. */
void escrow_report(const struct escrow *b, struct escrow_msg *out)
{
	out->type = ESCROW_REPORT;
	out->epoch = b->epoch;
	out->share = b->reported;
	out->tokens = 0;
	out->demand = 0;
}

/* The recounter of this epoch has the report. */
void escrow_counted(struct escrow *b, uint64_t epoch)
{
	if (epoch == b->epoch)
		b->counted = true;
}

/* Is the report of this epoch still to reach the recounter? */
bool escrow_uncounted(const struct escrow *b)
{
	return b->reported > 0 && !b->counted;
}

/*
 * Takes the whole, for the VM whose conditional create at the platform made
 * the limit's first epoch: nobody can hold or have used anything of it.
 */
void escrow_create(struct escrow *b, uint64_t epoch, usec_t now)
{
	if (b->epoch != 0 || escrow_lapsed(b, now))
		return;
	b->epoch = epoch;
	b->share = b->whole;
	b->reported = b->whole;
	b->counted = true;
	b->at = now;
	b->cut_at = now;
	b->tokens = escrow_cap(b, b->share);
}

/*
 * Adds what a recount found missing, without tokens: who held it may have
 * used them. False if this VM has moved on since, or the whole would be
 * exceeded; nothing is added then.
 */
bool escrow_add_missing(struct escrow *b, uint64_t epoch, uint32_t share,
			usec_t now)
{
	if (escrow_lapsed(b, now) || b->epoch != epoch ||
	    share > b->whole - b->share)
		return false;
	escrow_accrue(b, now);
	b->share += share;
	return true;
}

/* Parts of a token. */
uint64_t escrow_token(const struct escrow *b)
{
	return (uint64_t)b->whole * USEC_PER_SEC;
}

/* The most tokens, in parts, that a share may hold. */
uint64_t escrow_cap(const struct escrow *b, uint32_t share)
{
	return (uint64_t)share * b->limit.burst * USEC_PER_SEC;
}

/* Counts tokens up to now, at most the share's part of the burst. */
void escrow_accrue(struct escrow *b, usec_t now)
{
	uint64_t cap = escrow_cap(b, b->share);
	unsigned __int128 sum = b->tokens;
	bool later = now > b->at;

	if (later) {
		sum += (unsigned __int128)b->share * b->limit.rate_per_s *
		       (uint64_t)(now - b->at);
		b->at = now;
	}
	if (sum >= cap) {
		sum = cap;
		b->cut_at = later ? now : now + 1;
	}
	b->tokens = (uint64_t)sum;
}

/*
 * Gives up all shares if they are void. A VM whose time has run out has none
 * until it has word of the fleet again, in a new life.
 */
bool escrow_lapsed(struct escrow *b, usec_t now)
{
	if (b->life == b->vm->life && now <= b->vm->good_until)
		return false;
	give_up(b);
	if (now > b->vm->good_until)
		return true;
	b->life = b->vm->life;
	b->cut_at = now;
	return false;
}

/* The least share that can ever hold one token. */
uint32_t escrow_useful(const struct escrow *b)
{
	uint32_t burst = b->limit.burst ? b->limit.burst : 1;

	return (b->whole + burst - 1) / burst;
}

/* Forgets all that is held and all that was asked. */
static void give_up(struct escrow *b)
{
	b->cut_at = INT64_MAX;
	b->share = 0;
	b->tokens = 0;
	memset(b->asks, 0, sizeof(b->asks));
	void_given(b);
}

/*
 * Makes the answers that are kept empty. Their ids stay: a question that is
 * answered once must not be given anything when it comes again.
 */
static void void_given(struct escrow *b)
{
	uint32_t i;

	for (i = 0; i < ESCROW_PEERS; i++) {
		b->given[i].share = 0;
		b->given[i].tokens = 0;
	}
}

/* Begins a new window of demand when the current one is over. */
static void roll_window(struct escrow *b, usec_t now)
{
	usec_t into = now - b->window_at;

	if (into < WINDOW_US)
		return;
	b->last_window = into < 2 * WINDOW_US ? b->window : 0;
	b->window = 0;
	b->window_at = into < 2 * WINDOW_US ? b->window_at + WINDOW_US : now;
}
