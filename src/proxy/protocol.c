#include "proxy/protocol.h"

static const struct protocol *registered;

/* Sets the codec; called once, before main(). */
void protocol_register(const struct protocol *p)
{
	registered = p;
}

/* Returns the codec, or NULL if the program was built without one. */
const struct protocol *protocol_get(void)
{
	return registered;
}
