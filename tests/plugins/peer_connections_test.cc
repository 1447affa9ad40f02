#include <gtest/gtest.h>
#include <sodium.h>
#include <zmq.h>

#include <cstring>
#include <string>

extern "C" {
#include "plugins/peer_connections.h"
}

namespace
{
#define RECEIVE_TIMEOUT_MS 5000

// Derives a key pair from a text, as the VMs do from the fleet's secret.
struct peer_keys derive_keys(const char *seed_text)
{
	struct peer_keys k = {};
	uint8_t seed[crypto_box_SEEDBYTES];
	crypto_generichash(seed, sizeof(seed), (const uint8_t *)seed_text,
			   strlen(seed_text), nullptr, 0);
	crypto_box_seed_keypair(k.public_key, k.secret_key, seed);
	k.is_set = true;
	return k;
}

// A bound ROUTER socket, the receiving side of a connection.
struct Router {
	void *socket;
	std::string address;

	Router(void *zmq, const struct peer_keys &keys)
	{
		int ms = RECEIVE_TIMEOUT_MS;
		char endpoint[128];
		size_t len = sizeof(endpoint);
		socket = zmq_socket(zmq, ZMQ_ROUTER);
		EXPECT_EQ(peer_socket_set_options(socket, "127.0.0.1:0", &keys,
						  true, nullptr),
			  0);
		zmq_setsockopt(socket, ZMQ_RCVTIMEO, &ms, sizeof(ms));
		EXPECT_EQ(zmq_bind(socket, "tcp://127.0.0.1:0"), 0);
		zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, endpoint, &len);
		address = std::string(endpoint).substr(6);
	}
	~Router()
	{
		zmq_close(socket);
	}
	std::string receive()
	{
		char buf[256];
		if (zmq_recv(socket, buf, sizeof(buf), 0) < 0)
			return "nothing";
		int n = zmq_recv(socket, buf, sizeof(buf), 0);
		return n < 0 ? "nothing" : std::string(buf, (size_t)n);
	}
};

struct PeerConnections : testing::Test {
	void *zmq = zmq_ctx_new();
	struct peer_keys no_keys = {};
	~PeerConnections() override
	{
		zmq_ctx_term(zmq);
	}
	static bool send(struct peer_connections *c, const std::string &to,
			 const std::string &text, usec_t now)
	{
		return peer_connections_send(c, to.c_str(), text.data(),
					     text.size(), now);
	}
};

TEST_F(PeerConnections, SendsMessagesAndClosesIdleConnections)
{
	Router r(zmq, no_keys);
	struct peer_connections *c = peer_connections_create(zmq, &no_keys);
	EXPECT_TRUE(send(c, r.address, "one", 1));
	EXPECT_TRUE(send(c, r.address, "two", 2));
	EXPECT_EQ(r.receive(), "one");
	EXPECT_EQ(r.receive(), "two");
	EXPECT_EQ(peer_connections_count(c), 1u);
	peer_connections_close_idle(c, 2 + PEER_CONNECTION_IDLE_US);
	EXPECT_EQ(peer_connections_count(c), 1u);
	peer_connections_close_idle(c, 3 + PEER_CONNECTION_IDLE_US);
	EXPECT_EQ(peer_connections_count(c), 0u);
	EXPECT_TRUE(send(c, r.address, "three", 4));
	EXPECT_EQ(r.receive(), "three");
	peer_connections_destroy(c);
}

TEST_F(PeerConnections, FullTableClosesLeastRecentlyUsed)
{
	Router r(zmq, no_keys);
	struct peer_connections *c = peer_connections_create(zmq, &no_keys);
	for (int i = 0; i < PEER_CONNECTIONS_MAX; i++)
		send(c, "127.0.0.1:" + std::to_string(1 + i), "x", 10 + i);
	EXPECT_EQ(peer_connections_count(c), (size_t)PEER_CONNECTIONS_MAX);
	EXPECT_TRUE(send(c, r.address, "room", 5000));
	EXPECT_EQ(peer_connections_count(c), (size_t)PEER_CONNECTIONS_MAX);
	EXPECT_EQ(r.receive(), "room");
	peer_connections_destroy(c);
}

TEST_F(PeerConnections, SendToUnreachableVmDoesNotBlock)
{
	struct peer_connections *c = peer_connections_create(zmq, &no_keys);
	int sent = 0;
	for (int i = 0; i < 4 * PEER_SEND_HWM; i++)
		sent += send(c, "127.0.0.1:1", "x", 1);
	EXPECT_EQ(sent, PEER_SEND_HWM);
	peer_connections_destroy(c);
}

// Waits for the event of a failed handshake; false if none comes in time.
bool handshake_fails(void *monitor)
{
	uint8_t event[6];
	char address[128];

	if (zmq_recv(monitor, event, sizeof(event), 0) < 0)
		return false;
	zmq_recv(monitor, address, sizeof(address), 0);
	return true;
}

TEST_F(PeerConnections, RejectsPeersWithoutTheFleetsSecret)
{
	struct peer_keys right = derive_keys("ours"),
			 foreign = derive_keys("other");
	Router r(zmq, right);
	int ms = RECEIVE_TIMEOUT_MS;
	zmq_socket_monitor(r.socket, "inproc://handshakes",
			   ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
				   ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
				   ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
	void *monitor = zmq_socket(zmq, ZMQ_PAIR);
	zmq_setsockopt(monitor, ZMQ_RCVTIMEO, &ms, sizeof(ms));
	ASSERT_EQ(zmq_connect(monitor, "inproc://handshakes"), 0);
	for (const struct peer_keys &wrong : { foreign, no_keys }) {
		struct peer_connections *c =
			peer_connections_create(zmq, &wrong);
		send(c, r.address, "refused", 1);
		EXPECT_TRUE(handshake_fails(monitor));
		peer_connections_destroy(c);
	}
	struct peer_connections *vm = peer_connections_create(zmq, &right);
	EXPECT_TRUE(send(vm, r.address, "vm", 1));
	EXPECT_EQ(r.receive(), "vm");
	peer_connections_destroy(vm);
	zmq_socket_monitor(r.socket, nullptr, 0);
	zmq_close(monitor);
}
} // namespace
