#ifndef KERNEL_ADDRESS_H
#define KERNEL_ADDRESS_H

#include <sys/socket.h>

#include "decide/types.h"

/* Parses "1.2.3.4:5" or "[::1]:5"; false if the text is neither. */
bool address_parse(const char *text, struct sockaddr_storage *out,
		   socklen_t *len);
/* Formats a socket address in the same form; empty for other families. */
void address_format(const struct sockaddr *sa, char out[ADDR_MAX_BYTES]);
/* Returns the port of an address of either family; 0 for other families. */
uint16_t address_port(const struct sockaddr_storage *sa);
/* Replaces the port of an address in place. */
void address_set_port(char text[ADDR_MAX_BYTES], uint16_t port);

#endif
