#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "plugins/platform_http.h"
}

namespace
{
struct platform_call make_call(enum platform_op op, const char *name,
			       uint64_t version = 0)
{
	struct platform_call c = {};
	c.op = op;
	c.version = version;
	snprintf(c.name, sizeof(c.name), "%s", name);
	return c;
}

TEST(PlatformHttpCodec, FillsInRequests)
{
	const struct {
		enum platform_op op;
		const char *name;
		uint64_t version;
		const char *method;
		const char *url;
		const char *if_match;
		bool if_none_match;
	} cases[] = {
		{ PLATFORM_GET, "groups/quotes", 0, "GET",
		  "http://h:1/v1/objects/groups/quotes", "", false },
		{ PLATFORM_PUT, "teams/0a", 0, "PUT",
		  "http://h:1/v1/objects/teams/0a", "", true },
		{ PLATFORM_PUT, "teams/0a", 17, "PUT",
		  "http://h:1/v1/objects/teams/0a", "17", false },
		{ PLATFORM_LIST, "", 0, "GET",
		  "http://h:1/v1/objects?prefix=", "", false },
		{ PLATFORM_WATCH, "config/", 0, "GET",
		  "http://h:1/v1/watch?prefix=config/&after=9&wait_ms=700", "",
		  false },
		{ PLATFORM_VMS, "", 0, "GET", "http://h:1/v1/vms", "", false },
		{ PLATFORM_ANNOUNCE, "", 0, "POST", "http://h:1/v1/vms", "",
		  false },
	};
	for (const auto &k : cases) {
		struct platform_call c = make_call(k.op, k.name, k.version);
		c.after = 9;
		c.wait_ms = 700;
		struct http_call h = {};
		ASSERT_EQ(platform_http_build_request(&h, &c, "h:1", 5000), 0);
		EXPECT_STREQ(h.method, k.method);
		EXPECT_STREQ(h.url, k.url);
		EXPECT_STREQ(h.if_match, k.if_match);
		EXPECT_EQ(h.if_none_match, k.if_none_match) << k.url;
		EXPECT_EQ(h.timeout, k.op == PLATFORM_WATCH ? 705000 : 5000);
	}
}

TEST(PlatformHttpCodec, RefusesNamesThatNeedEscaping)
{
	std::string longest(OBJECT_NAME_BYTES - 1, 'n');
	const struct {
		const char *name;
		int rc;
	} cases[] = {
		{ "groups/a-b_c.d~9", 0 },
		{ "a b", -1 },
		{ "a?x=1", -1 },
		{ "a&b", -1 },
		{ "../x", -1 },
		{ "a%2e", -1 },
		{ "a\r\nHost: b", -1 },
		{ "caf\xc3", -1 },
		{ longest.c_str(), 0 },
	};
	for (const auto &k : cases) {
		struct platform_call c = make_call(PLATFORM_GET, k.name);
		struct http_call h = {};
		EXPECT_EQ(platform_http_build_request(&h, &c, "10.0.0.1:80", 1),
			  k.rc)
			<< k.name;
	}
}

TEST(PlatformHttpCodec, MapsResults)
{
	const struct {
		const char *what;
		enum platform_op op;
		int status;
		bool sent;
		const char *etag;
		enum platform_result result;
		uint64_t version;
	} cases[] = {
		{ "read", PLATFORM_GET, 200, true, "7", PLATFORM_OK, 7 },
		{ "read without version", PLATFORM_GET, 200, true, "",
		  PLATFORM_DOWN, 5 },
		{ "read, version negative", PLATFORM_GET, 200, true, "-7",
		  PLATFORM_DOWN, 5 },
		{ "read, version too large", PLATFORM_GET, 200, true,
		  "99999999999999999999999", PLATFORM_DOWN, 5 },
		{ "absent", PLATFORM_GET, 404, true, "", PLATFORM_NOT_FOUND,
		  0 },
		{ "read, connection refused", PLATFORM_GET, 0, false, "",
		  PLATFORM_DOWN, 5 },
		{ "read, reply lost", PLATFORM_GET, 0, true, "", PLATFORM_DOWN,
		  5 },
		{ "written", PLATFORM_PUT, 200, true, "6", PLATFORM_OK, 6 },
		{ "written, no version", PLATFORM_PUT, 200, true, "x",
		  PLATFORM_LOST, 5 },
		{ "conflict", PLATFORM_PUT, 412, true, "9", PLATFORM_CONFLICT,
		  9 },
		{ "conflict with absence", PLATFORM_PUT, 412, true, "",
		  PLATFORM_CONFLICT, 0 },
		{ "write, connection refused", PLATFORM_PUT, 0, false, "",
		  PLATFORM_DOWN, 5 },
		{ "write, reply lost", PLATFORM_PUT, 0, true, "", PLATFORM_LOST,
		  5 },
		{ "write, platform fails", PLATFORM_PUT, 500, true, "",
		  PLATFORM_LOST, 5 },
		{ "write refused", PLATFORM_PUT, 413, true, "", PLATFORM_DOWN,
		  5 },
		{ "watch", PLATFORM_WATCH, 200, true, "", PLATFORM_OK, 5 },
		{ "watch, platform fails", PLATFORM_WATCH, 503, true, "",
		  PLATFORM_DOWN, 5 },
		{ "announce, reply lost", PLATFORM_ANNOUNCE, 0, true, "",
		  PLATFORM_DOWN, 5 },
	};
	for (const auto &k : cases) {
		struct platform_call c = make_call(k.op, "teams/0a", 5);
		struct http_call h = {};
		h.status = k.status;
		h.sent = k.sent;
		snprintf(h.etag, sizeof(h.etag), "%s", k.etag);
		platform_http_read_result(&h, &c);
		EXPECT_EQ(c.result, k.result) << k.what;
		EXPECT_EQ(c.version, k.version) << k.what;
		EXPECT_EQ(c.error.code == ERR_NONE, k.result == PLATFORM_OK)
			<< k.what;
	}
}
} // namespace
