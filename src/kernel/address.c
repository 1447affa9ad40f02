#include "kernel/address.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool parse_port(const char *text, uint16_t *port);

/* Parses a numeric IP address and port; port 0 is allowed. */
bool address_parse(const char *text, struct sockaddr_storage *out,
		   socklen_t *len)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;
	const char *colon = strrchr(text, ':');
	char host[ADDR_MAX_BYTES];
	uint16_t port;
	size_t n;

	memset(out, 0, sizeof(*out));
	if (!colon || strlen(text) >= ADDR_MAX_BYTES ||
	    !parse_port(colon + 1, &port))
		return false;
	n = (size_t)(colon - text);
	if (n > 2 && text[0] == '[' && text[n - 1] == ']') {
		snprintf(host, sizeof(host), "%.*s", (int)n - 2, text + 1);
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(port);
		*len = sizeof(*in6);
		return inet_pton(AF_INET6, host, &in6->sin6_addr) == 1;
	}
	snprintf(host, sizeof(host), "%.*s", (int)n, text);
	in4->sin_family = AF_INET;
	in4->sin_port = htons(port);
	*len = sizeof(*in4);
	return inet_pton(AF_INET, host, &in4->sin_addr) == 1;
}

/* Formats "ip:port", with an IPv6 address in brackets. */
void address_format(const struct sockaddr *sa, char out[ADDR_MAX_BYTES])
{
	const struct sockaddr_in *in4 = (const struct sockaddr_in *)sa;
	const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)sa;
	char host[INET6_ADDRSTRLEN] = "";

	out[0] = '\0';
	if (!sa)
		return;
	if (sa->sa_family == AF_INET) {
		inet_ntop(AF_INET, &in4->sin_addr, host, sizeof(host));
		snprintf(out, ADDR_MAX_BYTES, "%s:%u", host,
			 ntohs(in4->sin_port));
	}
	if (sa->sa_family == AF_INET6) {
		inet_ntop(AF_INET6, &in6->sin6_addr, host, sizeof(host));
		snprintf(out, ADDR_MAX_BYTES, "[%s]:%u", host,
			 ntohs(in6->sin6_port));
	}
}

/* Returns the port in the order of the host. */
uint16_t address_port(const struct sockaddr_storage *sa)
{
	if (sa->ss_family == AF_INET)
		return ntohs(((const struct sockaddr_in *)sa)->sin_port);
	if (sa->ss_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)sa)->sin6_port);
	return 0;
}

/*
 * Replaces the digits after the last colon. Does nothing if there is no colon.
 */
void address_set_port(char text[ADDR_MAX_BYTES], uint16_t port)
{
	char *colon = strrchr(text, ':');

	if (!colon)
		return;
	colon++;
	snprintf(colon, ADDR_MAX_BYTES - (size_t)(colon - text), "%u", port);
}

/* Parses a port number of decimal digits only. */
static bool parse_port(const char *text, uint16_t *port)
{
	char *end;
	long n;

	if (!isdigit((unsigned char)text[0]))
		return false;
	n = strtol(text, &end, 10);
	if (*end || n > UINT16_MAX)
		return false;
	*port = (uint16_t)n;
	return true;
}
