#include "http_request.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

std::string request_body(evhttp_request *req)
{
	evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	return std::string((const char *)evbuffer_pullup(in, -1), len);
}

void request_reply(evhttp_request *req, int code, const std::string &text)
{
	evbuffer_add(evhttp_request_get_output_buffer(req), text.data(),
		     text.size());
	evhttp_send_reply(req, code, "", nullptr);
}

std::string request_query(evhttp_request *req, const char *key)
{
	struct evkeyvalq q;
	evhttp_parse_query_str(
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &q);
	const char *v = evhttp_find_header(&q, key);
	std::string out = v ? v : "";
	evhttp_clear_headers(&q);
	return out;
}
