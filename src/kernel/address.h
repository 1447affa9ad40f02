#ifndef KERNEL_ADDRESS_H
#define KERNEL_ADDRESS_H

#include <sys/socket.h>

#include "decide/types.h"

/* Reads "1.2.3.4:5" or "[::1]:5"; false if it is neither. */
bool address_parse(const char *text, struct sockaddr_storage *out,
		   socklen_t *len);
/* Writes a socket address in the same form; empty for other families. */
void address_format(const struct sockaddr *sa, char out[ADDR_MAX_BYTES]);
/* Replaces the port of "text" in place. */
void address_set_port(char text[ADDR_MAX_BYTES], uint16_t port);

#endif
