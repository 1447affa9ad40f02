#ifndef TESTS_SESSIONS_HTTP_REQUEST_H
#define TESTS_SESSIONS_HTTP_REQUEST_H

#include <string>

#include <event2/http.h>

// Helpers for the requests that the fake platform serves.

std::string request_body(evhttp_request *req);
void request_reply(evhttp_request *req, int code, const std::string &text);
// Returns a field of the query, or "" if it is missing.
std::string request_query(evhttp_request *req, const char *key);

#endif
