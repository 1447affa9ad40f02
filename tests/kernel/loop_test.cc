#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <gtest/gtest.h>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern "C" {
#include <apr_general.h>

#include "kernel/loop.h"
#include "kernel/timer_heap.h"
}

namespace
{
class AprEnvironment : public testing::Environment
{
      public:
	void SetUp() override
	{
		ASSERT_EQ(apr_initialize(), APR_SUCCESS);
	}
};
const auto *const kApr = testing::AddGlobalTestEnvironment(new AprEnvironment);

// Responds to the first request on a connection, with a header line if one is
// given, then reads the second and closes the connection without a response.
class OneAnswerServer
{
      public:
	explicit OneAnswerServer(const std::string &header = "")
	    : header_(header)
	{
		struct sockaddr_in a = {};
		socklen_t len = sizeof(a);
		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(fd_, (struct sockaddr *)&a, sizeof(a)), 0);
		EXPECT_EQ(listen(fd_, 16), 0);
		EXPECT_EQ(getsockname(fd_, (struct sockaddr *)&a, &len), 0);
		port = ntohs(a.sin_port);
		thread_ = std::thread([this] { Serve(); });
	}
	~OneAnswerServer()
	{
		shutdown(fd_, SHUT_RDWR);
		thread_.join();
		close(fd_);
	}
	int port;
	std::atomic<int> requests{ 0 };

      private:
	static bool ReadRequest(int c)
	{
		std::string s;
		char b[4096];
		while (s.find("\r\n\r\n{}") == std::string::npos) {
			ssize_t n = read(c, b, sizeof(b));
			if (n <= 0)
				return false;
			s.append(b, n);
		}
		return true;
	}
	void Serve()
	{
		int c;
		while ((c = accept(fd_, nullptr, nullptr)) >= 0) {
			if (ReadRequest(c)) {
				requests++;
				std::string reply =
					"HTTP/1.1 200 OK\r\nETag: \"17\"\r\n" +
					header_ + "Content-Length: 2\r\n\r\n{}";
				EXPECT_EQ(write(c, reply.data(), reply.size()),
					  (ssize_t)reply.size());
				if (ReadRequest(c))
					requests++;
			}
			close(c);
		}
	}
	int fd_;
	std::string header_;
	std::thread thread_;
};

// Counts callbacks on a loop, and waits for a number of them.
struct Latch {
	std::mutex m;
	std::condition_variable cv;
	int n = 0;
	void Hit()
	{
		std::lock_guard<std::mutex> g(m);
		n++;
		cv.notify_all();
	}
	void Wait(int want)
	{
		std::unique_lock<std::mutex> g(m);
		cv.wait(g, [&] { return n >= want; });
	}
};

struct Call {
	struct http_call http = {};
	struct loop *loop;
	Latch latch;
	std::string reply;
	Call(struct loop *l, int port, bool once) : loop(l)
	{
		http.method = "POST";
		snprintf(http.url, sizeof(http.url), "http://127.0.0.1:%d/",
			 port);
		http.body = "{}";
		http.body_len = 2;
		http.send_once = once;
		http.timeout = 5 * USEC_PER_SEC;
		http.reply_max = 1000;
		http.ctx = this;
		http.done = [](struct http_call *h) {
			auto *c = (Call *)h->ctx;
			if (h->reply)
				c->reply = h->reply;
			c->latch.Hit();
		};
	}
	void Run()
	{
		int want = latch.n + 1;
		loop_post(
			loop,
			[](void *ctx) {
				auto *c = (Call *)ctx;
				loop_http(c->loop, &c->http);
			},
			this);
		latch.Wait(want);
	}
};

TEST(LoopHttp, UnsafeBodyIsNeverSentTwice)
{
	const struct {
		const char *name;
		bool once;
		int requests; // curl resends an ordinary request by itself
		int status;
	} cases[] = {
		{ "must not repeat", true, 2, 0 },
		{ "may repeat", false, 3, 200 },
	};
	for (const auto &c : cases) {
		OneAnswerServer s;
		struct error e;
		struct loop *l = loop_create("test", &e);
		ASSERT_NE(l, nullptr);
		ASSERT_EQ(loop_start(l, &e), 0);
		Call call(l, s.port, c.once);
		call.Run();
		EXPECT_EQ(call.http.status, 200) << c.name;
		EXPECT_EQ(call.reply, "{}") << c.name;
		EXPECT_STREQ(call.http.etag, "17") << c.name;
		call.Run();
		EXPECT_EQ(call.http.status, c.status) << c.name;
		EXPECT_TRUE(call.http.sent) << c.name;
		EXPECT_EQ(s.requests, c.requests) << c.name;
		loop_stop(l);
		loop_destroy(l);
	}
}

// A malformed number is no number: it must not look like that of another reply.
TEST(LoopHttp, TakesTheRequestedNumberFromTheHeaders)
{
	const struct {
		const char *line;
		uint64_t number;
	} cases[] = {
		{ "", 0 },
		{ "Some-Number: 7\r\n", 7 },
		{ "some-NUMBER:7\r\n", 7 },
		{ "Some-Number: \t 7 \t\r\n", 7 },
		{ "Some-Number: 18446744073709551609\r\n",
		  UINT64_C(18446744073709551609) },
		{ "Some-Number: 0\r\n", 0 },
		{ "Some-Number:\r\n", 0 },
		{ "Some-Number: -7\r\n", 0 },
		{ "Some-Number: 7 8\r\n", 0 },
		{ "Some-Number: 7x\r\n", 0 },
		{ "Some-Number: 0x7\r\n", 0 },
		{ "Some-Number: 18446744073709551616\r\n", 0 },
		{ "Some-Number: 99999999999999999999\r\n", 0 },
		{ "Some-Number-2: 7\r\n", 0 },
		{ "X-Some-Number: 7\r\n", 0 },
		{ "Some-Numbe: 7\r\n", 0 },
	};
	for (const auto &c : cases) {
		OneAnswerServer server(c.line);
		struct error e;
		struct loop *loop = loop_create("test", &e);
		ASSERT_TRUE(loop);
		ASSERT_EQ(loop_start(loop, &e), 0);
		{
			Call call(loop, server.port, true);
			call.http.number_header = "Some-Number";
			call.Run();
			EXPECT_EQ(call.http.status, 200) << c.line;
			EXPECT_EQ(call.http.header_number, c.number) << c.line;
		}
		loop_stop(loop);
		loop_destroy(loop);
	}
}

TEST(LoopHttp, RefusedConnectionSendsNothing)
{
	struct error e;
	struct loop *l = loop_create("test", &e);
	ASSERT_EQ(loop_start(l, &e), 0);
	int port;
	{
		OneAnswerServer s;
		port = s.port;
	}
	Call call(l, port, true);
	call.Run();
	EXPECT_EQ(call.http.status, 0);
	EXPECT_FALSE(call.http.sent);
	EXPECT_STRNE(call.http.error_text, "");
	loop_stop(l);
	loop_destroy(l);
}

TEST(Loop, RunsTasksInOrderAndCompletesThemOnStop)
{
	struct error e;
	struct loop *l = loop_create("test", &e);
	static std::vector<long> seen;
	seen.clear();
	ASSERT_EQ(loop_start(l, &e), 0);
	for (long i = 0; i < 100; i++)
		loop_post(
			l, [](void *ctx) { seen.push_back((long)ctx); },
			(void *)i);
	loop_stop(l);
	ASSERT_EQ(seen.size(), 100u);
	for (long i = 0; i < 100; i++)
		EXPECT_EQ(seen[i], i);
	loop_destroy(l);
}

TEST(TimerHeap, ReturnsTimersInOrder)
{
	struct timer_heap h = {};
	std::vector<struct loop_timer> t(200);
	uint32_t seed = 12345;
	for (auto &x : t) {
		seed = seed * 1664525 + 1013904223;
		x = {};
		x.at = seed >> 20;
		ASSERT_EQ(timer_heap_insert(&h, &x), 0);
	}
	for (size_t i = 0; i < t.size(); i += 3)
		timer_heap_remove(&h, &t[i]);
	usec_t last = -1;
	size_t n = 0;
	struct loop_timer *x;
	while ((x = timer_heap_first(&h))) {
		EXPECT_GE(x->at, last);
		last = x->at;
		timer_heap_remove(&h, x);
		EXPECT_EQ(x->slot, 0u);
		n++;
	}
	EXPECT_EQ(n, t.size() - (t.size() + 2) / 3);
	timer_heap_free(&h);
}
} // namespace
