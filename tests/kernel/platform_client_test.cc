#include <arpa/inet.h>
#include <condition_variable>
#include <cstring>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "kernel/counters.h"
#include "kernel/kernel.h"
#include "kernel/platform_client.h"
}

namespace
{
// Answers each request, but none on the connections that were made silent.
class Store
{
      public:
	Store()
	{
		struct sockaddr_in a = {};
		socklen_t len = sizeof(a);
		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(fd_, (struct sockaddr *)&a, sizeof(a)), 0);
		EXPECT_EQ(listen(fd_, 16), 0);
		EXPECT_EQ(getsockname(fd_, (struct sockaddr *)&a, &len), 0);
		address = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
		threads_.emplace_back([this] { Accept(); });
	}
	~Store()
	{
		shutdown(fd_, SHUT_RDWR);
		threads_.front().join();
		threads_.pop_front();
		for (int c : connections_)
			shutdown(c, SHUT_RDWR);
		for (auto &t : threads_)
			t.join();
		for (int c : connections_)
			close(c);
		close(fd_);
	}
	// Makes the open connections silent; later ones answer.
	void Silence()
	{
		std::lock_guard<std::mutex> g(m_);
		n_silent_ = connections_.size();
	}
	// Lets the system drop all that arrives on the open connections, so
	// that keep-alive probes get no answer either.
	void DropInput()
	{
		sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
		sock_fprog program = { 1, &drop_all };
		std::lock_guard<std::mutex> g(m_);
		for (int c : connections_) {
			ASSERT_EQ(setsockopt(c, SOL_SOCKET, SO_ATTACH_FILTER,
					     &program, sizeof(program)),
				  0);
		}
	}
	// Waits for a number of requests of a method.
	void Await(const std::string &method, int n)
	{
		std::unique_lock<std::mutex> g(m_);
		cv_.wait(g, [&] { return requests_[method] >= n; });
	}
	int Requests(const std::string &method)
	{
		std::lock_guard<std::mutex> g(m_);
		return requests_[method];
	}
	size_t Connections()
	{
		std::lock_guard<std::mutex> g(m_);
		return connections_.size();
	}
	std::string address;

      private:
	void Accept()
	{
		int c;
		while ((c = accept(fd_, nullptr, nullptr)) >= 0) {
			std::lock_guard<std::mutex> g(m_);
			size_t i = connections_.size();
			connections_.push_back(c);
			threads_.emplace_back([this, c, i] { Serve(c, i); });
		}
	}
	void Serve(int c, size_t index)
	{
		const std::string reply =
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
		std::string s;
		char b[4096];
		ssize_t n;
		while ((n = read(c, b, sizeof(b))) > 0) {
			s.append(b, n);
			if (s.find("\r\n\r\n") == std::string::npos)
				continue;
			std::string method = s.substr(0, s.find(' '));
			s.clear();
			std::lock_guard<std::mutex> g(m_);
			requests_[method]++;
			cv_.notify_all();
			bool is_held = method == "WATCH" && index == 0;
			if (index >= n_silent_ && !is_held)
				(void)!write(c, reply.data(), reply.size());
		}
	}
	int fd_;
	std::mutex m_;
	std::condition_variable cv_;
	std::map<std::string, int> requests_;
	std::vector<int> connections_;
	size_t n_silent_ = 0;
	std::list<std::thread> threads_;
};

int Request(void *ctx, const struct platform_call *c, struct http_call *h,
	    char **body)
{
	const auto *address = (const std::string *)ctx;
	(void)body;
	h->method = c->op == PLATFORM_WATCH  ? "WATCH"
		    : c->op == PLATFORM_LIST ? "GET"
		    : c->op == PLATFORM_PUT  ? "PUT"
					     : "POST";
	h->reply_max = 1000;
	if (c->op == PLATFORM_WATCH) {
		h->new_connection = true;
		h->timeout += 60 * USEC_PER_SEC;
	}
	snprintf(h->url, sizeof(h->url), "http://%s/", address->c_str());
	return 0;
}

void Result(const struct http_call *h, struct platform_call *c)
{
	c->result = h->status == 200	     ? PLATFORM_OK
		    : c->op == PLATFORM_LIST ? PLATFORM_DOWN
					     : PLATFORM_LOST;
}

const struct platform_protocol kWire = { Request, Result, true };

struct Call {
	struct platform_call call = {};
	std::mutex m;
	std::condition_variable cv;
	bool is_done = false;
	explicit Call(enum platform_op op)
	{
		call.op = op;
		call.ctx = this;
		call.done = [](struct platform_call *c) {
			auto *self = (Call *)c->ctx;
			std::lock_guard<std::mutex> g(self->m);
			self->is_done = true;
			self->cv.notify_all();
		};
	}
	void Wait()
	{
		std::unique_lock<std::mutex> g(m);
		cv.wait(g, [&] { return is_done; });
	}
};

class PlatformClient : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct error e;
		kernel_.settings.platform_timeout_ms = 1500;
		snprintf(kernel_.settings.platform,
			 sizeof(kernel_.settings.platform), "%s",
			 store_.address.c_str());
		ASSERT_EQ(platform_client_start(&client_, &kernel_, &kWire,
						&store_.address, &e),
			  0);
	}
	void TearDown() override
	{
		platform_client_stop(&client_, &kernel_);
	}
	enum platform_result Run(enum platform_op op)
	{
		Call c(op);
		platform_submit(&kernel_, &c.call);
		c.Wait();
		return c.call.result;
	}
	Store store_;
	struct kernel kernel_ = {};
	struct platform_client client_ = {};
};

// Guards against calls that wait for their time-out on a connection that fell
// silent, and against a second promotion or write.
TEST_F(PlatformClient, ContinuesOverdueCallsOnNewConnections)
{
	const struct {
		const char *name;
		enum platform_op op;
		const char *method;
		enum platform_result result;
		int requests;
		uint64_t repeated;
	} cases[] = {
		{ "list", PLATFORM_LIST, "GET", PLATFORM_OK, 2, 1 },
		{ "write", PLATFORM_PUT, "PUT", PLATFORM_LOST, 1, 0 },
		{ "promotion", PLATFORM_PROMOTE, "POST", PLATFORM_LOST, 1, 0 },
	};
	for (const auto &c : cases) {
		ASSERT_EQ(Run(PLATFORM_LIST), PLATFORM_OK) << c.name;
		store_.Silence();
		int requests = store_.Requests(c.method);
		uint64_t repeated = counter_sum(CTR_PLATFORM_REPEATED);
		EXPECT_EQ(Run(c.op), c.result) << c.name;
		EXPECT_EQ(store_.Requests(c.method) - requests, c.requests)
			<< c.name;
		EXPECT_EQ(counter_sum(CTR_PLATFORM_REPEATED) - repeated,
			  c.repeated)
			<< c.name;
	}
}

// Guards against calls that use the next silent connection of the cache.
TEST_F(PlatformClient, UsesNoIdleConnectionAfterAnOverdueCall)
{
	Call a(PLATFORM_LIST), b(PLATFORM_LIST);
	platform_submit(&kernel_, &a.call);
	platform_submit(&kernel_, &b.call);
	a.Wait();
	b.Wait();
	store_.Silence();
	EXPECT_EQ(Run(PLATFORM_LIST), PLATFORM_OK);
	uint64_t repeated = counter_sum(CTR_PLATFORM_REPEATED);
	Call c(PLATFORM_LIST), d(PLATFORM_LIST);
	platform_submit(&kernel_, &c.call);
	platform_submit(&kernel_, &d.call);
	c.Wait();
	d.Wait();
	EXPECT_EQ(c.call.result, PLATFORM_OK);
	EXPECT_EQ(d.call.result, PLATFORM_OK);
	EXPECT_EQ(counter_sum(CTR_PLATFORM_REPEATED), repeated);
}

// Guards against a watch that stays deaf on a connection that fell silent with
// another one of this VM.
TEST_F(PlatformClient, RenewsWatchesOnceACallWasFoundSilent)
{
	Call watch(PLATFORM_WATCH);
	platform_submit(&kernel_, &watch.call);
	store_.Await("WATCH", 1);
	ASSERT_EQ(Run(PLATFORM_LIST), PLATFORM_OK);
	usleep(1100 *
	       1000); // a watch is not renewed more often than each second
	store_.Silence();
	EXPECT_EQ(Run(PLATFORM_LIST), PLATFORM_OK);
	watch.Wait();
	EXPECT_EQ(watch.call.result, PLATFORM_OK);
	EXPECT_EQ(store_.Requests("WATCH"), 2);
}

// Guards against a watch that stays deaf while this VM makes no other call.
TEST_F(PlatformClient, RenewsAWatchWhoseConnectionIsClosedAsSilent)
{
	uint64_t repeated = counter_sum(CTR_PLATFORM_REPEATED);
	Call watch(PLATFORM_WATCH);
	platform_submit(&kernel_, &watch.call);
	store_.Await("WATCH", 1);
	store_.DropInput();
	watch.Wait();
	EXPECT_EQ(watch.call.result, PLATFORM_OK);
	EXPECT_EQ(store_.Requests("WATCH"), 2);
	EXPECT_EQ(counter_sum(CTR_PLATFORM_REPEATED) - repeated, 1u);
}
} // namespace
