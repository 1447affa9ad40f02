#include "kernel/platform.h"

#include "kernel/kernel.h"

/*
 * Passes a call to the platform's plug-in; fails it with DOWN at once if there
 * is none.
 */
void platform_submit(struct kernel *k, struct platform_call *c)
{
	if (!k->platform) {
		c->result = PLATFORM_DOWN;
		error_set(&c->error, ERR_PLATFORM, STEP_CONNECT, NULL,
			  "no platform plug-in");
		c->done(c);
		return;
	}
	k->platform->submit(k->platform->ctx, c);
}

/* Returns whether the platform answered the call that ended last. */
bool platform_is_up(struct kernel *k)
{
	return k->platform && k->platform->is_up(k->platform->ctx);
}
