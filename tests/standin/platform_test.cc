#include <gtest/gtest.h>
#include <thread>

#include "http_client.h"

extern "C" {
#include "standin/platform.h"
}

namespace
{
class PlatformHttp : public testing::Test
{
      protected:
	PlatformHttp()
	{
		struct platform_options o = {};
		struct error e = {};
		o.listen = "127.0.0.1:0";
		o.control = "127.0.0.1:0";
		o.vm_expiry_ms = 5000;
		p = platform_start(&o, &e);
		EXPECT_NE(p, nullptr) << e.message;
	}
	~PlatformHttp() override
	{
		platform_stop(p);
	}
	void control(const char *json)
	{
		HttpClient c(platform_control_address(p));
		EXPECT_EQ(c.call("POST", "/control", json), 200) << json;
	}
	struct platform *p;
};

TEST_F(PlatformHttp, ConditionalUpdates)
{
	const struct {
		const char *name, *header, *body;
		long status;
		const char *etag;
	} cases[] = {
		{ "update when none exists", "If-Match: \"1\"", "{}", 412, "" },
		{ "create", "If-None-Match: *", "{}", 200, "\"1\"" },
		{ "create again", "If-None-Match: *", "{}", 412, "\"1\"" },
		{ "update", "If-Match: \"1\"", "{}", 200, "\"2\"" },
		{ "update with a stale version", "If-Match: \"1\"", "{}", 412,
		  "\"2\"" },
		{ "no condition", nullptr, "{}", 428, "" },
		{ "version 0", "If-Match: \"0\"", "{}", 428, "" },
		{ "version not quoted", "If-Match: 2", "{}", 428, "" },
		{ "malformed JSON", "If-Match: \"2\"", "{", 400, "" },
	};
	HttpClient c(platform_address(p));
	for (const auto &t : cases) {
		EXPECT_EQ(c.call("PUT", "/v1/objects/g/x", t.body, t.header),
			  t.status)
			<< t.name;
		EXPECT_EQ(c.etag, t.etag) << t.name;
	}
	EXPECT_EQ(c.call("GET", "/v1/objects/g/x"), 200);
	EXPECT_EQ(c.etag, "\"2\"");
	EXPECT_EQ(c.call("GET", "/v1/objects/g/y"), 404);
}

TEST_F(PlatformHttp, WatchWaitsForAChange)
{
	HttpClient c(platform_address(p)), w(platform_address(p));
	ASSERT_EQ(c.call("PUT", "/v1/objects/g/x", "{}", "If-None-Match: *"),
		  200);
	ASSERT_EQ(c.call("GET", "/v1/objects?prefix=g/"), 200);
	EXPECT_EQ(c.number("revision"), 1);
	EXPECT_EQ(w.call("GET", "/v1/watch?prefix=g/&after=1&wait_ms=1"), 200);
	EXPECT_EQ(json_array_size(json_object_get(w.body, "objects")), 0U);
	// The watch may arrive before or after the change; in both cases it
	// must return the change.
	std::string got;
	std::thread watcher([&] {
		w.call("GET", "/v1/watch?prefix=g/&after=1&wait_ms=60000");
	});
	ASSERT_EQ(c.call("PUT", "/v1/objects/h/y", "{}", "If-None-Match: *"),
		  200);
	ASSERT_EQ(c.call("PUT", "/v1/objects/g/y", "{}", "If-None-Match: *"),
		  200);
	watcher.join();
	json_t *objects = json_object_get(w.body, "objects");
	ASSERT_EQ(json_array_size(objects), 1U);
	EXPECT_STREQ(json_string_value(json_object_get(
			     json_array_get(objects, 0), "name")),
		     "g/y");
}

TEST_F(PlatformHttp, FaultsAndVmList)
{
	HttpClient c(platform_address(p));
	control(R"({"lose_replies":1})");
	EXPECT_EQ(c.call("PUT", "/v1/objects/g/x", "{}", "If-None-Match: *"),
		  0);
	EXPECT_EQ(c.call("GET", "/v1/objects/g/x"), 200) << "took effect";
	control(R"({"down":true})");
	EXPECT_EQ(c.call("PUT", "/v1/objects/g/x", "{}", "If-Match: \"1\""), 0);
	control(R"({"down":false})");
	EXPECT_EQ(c.call("GET", "/v1/objects/g/x"), 200);
	EXPECT_EQ(c.etag, "\"1\"") << "had no effect";
	EXPECT_EQ(c.call("POST", "/v1/vms", R"({"name":"a","state":"live"})"),
		  200);
	EXPECT_EQ(c.call("POST", "/v1/vms", R"({"name":"a"})"), 422);
	EXPECT_EQ(c.call("GET", "/v1/vms"), 200);
	EXPECT_EQ(json_array_size(json_object_get(c.body, "vms")), 1U);
	HttpClient k(platform_control_address(p));
	ASSERT_EQ(k.call("GET", "/control"), 200);
	json_t *calls = json_object_get(k.body, "calls");
	EXPECT_EQ(json_integer_value(json_object_get(calls, "put")), 2);
	EXPECT_EQ(json_integer_value(json_object_get(calls, "get")), 2);
	EXPECT_EQ(json_integer_value(json_object_get(calls, "announce")), 2);
	EXPECT_EQ(k.call("POST", "/control", R"({"down":1})"), 400);
	EXPECT_EQ(k.call("POST", "/control", R"({"other":1})"), 400);
}
} // namespace
