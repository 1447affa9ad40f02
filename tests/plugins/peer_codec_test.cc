#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <random>
#include <string>

extern "C" {
#include "plugins/gossip_codec.h"
#include "plugins/peer_codec.h"
}

namespace
{
// Owns the buffer of an encoded message.
struct Buffer {
	msgpack_sbuffer b;
	Buffer()
	{
		msgpack_sbuffer_init(&b);
	}
	~Buffer()
	{
		msgpack_sbuffer_destroy(&b);
	}
	std::string str() const
	{
		return std::string(b.data, b.size);
	}
};

// Owns an unpacked message, into which decoded bodies point.
struct Unpacked {
	msgpack_unpacked u;
	Unpacked()
	{
		msgpack_unpacked_init(&u);
	}
	~Unpacked()
	{
		msgpack_unpacked_destroy(&u);
	}
};

void set(char *out, size_t size, const std::string &s)
{
	snprintf(out, size, "%s", s.c_str());
}

struct member_update make_update(const char *name)
{
	struct member_update n = {};
	set(n.member.name, NAME_MAX_BYTES, name);
	set(n.member.domain, NAME_MAX_BYTES, "a");
	set(n.member.peer, ADDR_MAX_BYTES, "10.0.0.1:7000");
	n.member.incarnation = 77;
	n.member.refutations = 3;
	n.member.suspect = true;
	n.is_unlisted = true;
	return n;
}

std::string encode_frame()
{
	struct peer_frame f = {};
	f.type = PEER_GOSSIP;
	set(f.from, sizeof(f.from), "vm-1");
	f.incarnation = UINT64_MAX;
	f.at = { 1234567, 9 };
	f.body = "body";
	f.body_len = 4;
	Buffer b;
	peer_encode(&b.b, &f);
	return b.str();
}

std::string encode_request()
{
	struct gossip_request a = {};
	a.anti_entropy.id = 5;
	a.anti_entropy.complete = 900;
	a.anti_entropy.cursor = { 7, UINT64_MAX, 901, true, false };
	a.anti_entropy.n = 1;
	set(a.anti_entropy.unseen[0].name, ANTI_ENTROPY_NAME_BYTES, "teams/0a");
	a.anti_entropy.unseen[0].version = 12;
	a.updates.n = 2;
	a.updates.item[0] = make_update("vm-1");
	a.updates.item[1] = make_update("vm-2");
	Buffer b;
	gossip_request_encode(&b.b, &a);
	return b.str();
}

std::string encode_response()
{
	static struct gossip_response a;
	a = {};
	a.id = 5;
	a.cursor = { 1, 2, 3, true, true };
	a.platform_age_us = -1;
	a.n_contacts = 1;
	set(a.contacts[0].domain, NAME_MAX_BYTES, "b");
	a.contacts[0].age_us = 2500;
	a.updates.n = 1;
	a.updates.item[0] = make_update("vm-3");
	a.n_objects = 1;
	set(a.objects[0].name, OBJECT_NAME_BYTES, "config/defaults");
	a.objects[0].version = 4;
	a.objects[0].revision = 8;
	a.objects[0].body = "{}";
	a.objects[0].body_len = 2;
	Buffer b;
	gossip_response_encode(&b.b, &a);
	return b.str();
}

std::string encode_push()
{
	struct gossip_push t = {};
	t.id = 6;
	set(t.object.name, OBJECT_NAME_BYTES, "config/defaults");
	t.object.version = 4;
	t.object.body = "{\"a\":1}";
	t.object.body_len = 7;
	Buffer b;
	gossip_push_encode(&b.b, &t);
	return b.str();
}

TEST(PeerCodec, FrameSurvivesRoundTrip)
{
	std::string s = encode_frame();
	struct peer_frame f;
	struct error e = {};
	Unpacked u;
	ASSERT_EQ(peer_decode(&u.u, s.data(), s.size(), &f, &e), 0)
		<< e.message;
	EXPECT_EQ(f.type, PEER_GOSSIP);
	EXPECT_STREQ(f.from, "vm-1");
	EXPECT_EQ(f.incarnation, UINT64_MAX);
	EXPECT_EQ(f.at.wall_us, 1234567);
	EXPECT_EQ(f.at.count, 9u);
	EXPECT_EQ(std::string(f.body, f.body_len), "body");
}

TEST(PeerCodec, RejectsMalformedFrames)
{
	auto pack = [](uint32_t protocol, uint32_t type,
		       const std::string &from, size_t body) {
		Buffer b;
		msgpack_packer p;
		msgpack_packer_init(&p, &b.b, msgpack_sbuffer_write);
		msgpack_pack_array(&p, 7);
		msgpack_pack_uint32(&p, protocol);
		msgpack_pack_uint32(&p, type);
		msgpack_pack_str(&p, from.size());
		msgpack_pack_str_body(&p, from.data(), from.size());
		msgpack_pack_uint64(&p, 1);
		msgpack_pack_int64(&p, 1);
		msgpack_pack_uint32(&p, 1);
		std::string z(body, 'z');
		msgpack_pack_bin(&p, z.size());
		msgpack_pack_bin_body(&p, z.data(), z.size());
		return b.str();
	};
	const struct {
		const char *what;
		std::string message;
		bool good;
	} cases[] = {
		{ "valid", pack(1, 1, "vm", 3), true },
		{ "largest body", pack(1, 1, "vm", PEER_BODY_MAX_BYTES), true },
		{ "body too large", pack(1, 1, "vm", PEER_BODY_MAX_BYTES + 1),
		  false },
		{ "other protocol", pack(2, 1, "vm", 3), false },
		{ "no type", pack(1, 0, "vm", 3), false },
		{ "unknown type", pack(1, PEER_TYPE_COUNT, "vm", 3), false },
		{ "no sender", pack(1, 1, "", 3), false },
		{ "long sender", pack(1, 1, std::string(64, 'v'), 3), false },
		{ "NUL in sender", pack(1, 1, std::string("v\0m", 3), 3),
		  false },
		{ "empty", "", false },
		{ "no array", "\x01", false },
		{ "trailing bytes after the message",
		  pack(1, 1, "vm", 3) + "\x01", false },
		{ "array length beyond the message", "\xdd\xff\xff\xff\xff",
		  false },
		{ "deep nesting", std::string(5000, '\x91'), false },
	};
	for (const auto &c : cases) {
		struct peer_frame f;
		struct error e = {};
		Unpacked u;
		int rc = peer_decode(&u.u, c.message.data(), c.message.size(),
				     &f, &e);
		EXPECT_EQ(rc == 0, c.good) << c.what << ": " << e.message;
		EXPECT_EQ(e.code == ERR_NONE, c.good) << c.what;
	}
}

TEST(GossipCodec, RequestSurvivesRoundTrip)
{
	std::string s = encode_request();
	struct gossip_request a;
	struct error e = {};
	ASSERT_EQ(gossip_request_decode(s.data(), s.size(), &a, &e), 0);
	EXPECT_EQ(a.anti_entropy.id, 5u);
	EXPECT_EQ(a.anti_entropy.complete, 900u);
	EXPECT_EQ(a.anti_entropy.cursor.hash, UINT64_MAX);
	EXPECT_EQ(a.anti_entropy.cursor.complete_to, 901u);
	EXPECT_TRUE(a.anti_entropy.cursor.is_last);
	EXPECT_FALSE(a.anti_entropy.cursor.is_up_to_date);
	ASSERT_EQ(a.anti_entropy.n, 1u);
	EXPECT_STREQ(a.anti_entropy.unseen[0].name, "teams/0a");
	EXPECT_EQ(a.anti_entropy.unseen[0].version, 12u);
	ASSERT_EQ(a.updates.n, 2u);
	EXPECT_STREQ(a.updates.item[1].member.name, "vm-2");
	EXPECT_EQ(a.updates.item[1].member.incarnation, 77u);
	EXPECT_TRUE(a.updates.item[1].member.suspect);
	EXPECT_FALSE(a.updates.item[1].is_listed);
	EXPECT_TRUE(a.updates.item[1].is_unlisted);
}

TEST(GossipCodec, ResponseAndPushSurviveRoundTrip)
{
	std::string s = encode_response();
	static struct gossip_response a;
	struct error e = {};
	Unpacked u, v;
	ASSERT_EQ(gossip_response_decode(&u.u, s.data(), s.size(), &a, &e), 0);
	EXPECT_EQ(a.platform_age_us, -1);
	ASSERT_EQ(a.n_contacts, 1u);
	EXPECT_EQ(a.contacts[0].age_us, 2500);
	ASSERT_EQ(a.n_objects, 1u);
	EXPECT_EQ(a.objects[0].revision, 8u);
	EXPECT_EQ(std::string(a.objects[0].body, a.objects[0].body_len), "{}");
	s = encode_push();
	struct gossip_push t;
	ASSERT_EQ(gossip_push_decode(&v.u, s.data(), s.size(), &t, &e), 0);
	EXPECT_EQ(t.id, 6u);
	EXPECT_EQ(t.object.version, 4u);
	EXPECT_EQ(t.object.body_len, 7u);
}

TEST(GossipCodec, RejectsCountsOverTheirBounds)
{
	struct gossip_request a = {};
	struct error e = {};
	a.updates.n = GOSSIP_UPDATES_MAX;
	for (auto &n : a.updates.item)
		n = make_update("vm");
	Buffer good, bad;
	gossip_request_encode(&good.b, &a);
	EXPECT_EQ(gossip_request_decode(good.b.data, good.b.size, &a, &e), 0);
	// Turn the array header for 12 elements into one for 13 and append one.
	std::string s = good.str();
	size_t header = s.find('\x9c');
	ASSERT_NE(header, std::string::npos);
	std::string element =
		s.substr(header + 1, (s.size() - header - 1) / 12);
	s[header] = '\x9d';
	s += element;
	EXPECT_EQ(gossip_request_decode(s.data(), s.size(), &a, &e), -1);
}

// Decoding arbitrary bytes must end without an access that the sanitizers
// report: either with an error code, or with counts within bounds and
// terminated strings.
TEST(PeerCodec, RandomMutationsStayWithinBounds)
{
	std::mt19937 rng(7);
	const std::string seeds[] = { encode_frame(), encode_request(),
				      encode_response(), encode_push() };
	int good = 0, bad = 0;
	for (int i = 0; i < 60000; i++) {
		int kind = i % 4;
		std::string s = seeds[kind];
		for (int n = 1 + (int)(rng() % 4); n > 0; n--) {
			size_t at = rng() % s.size();
			switch (rng() % 4) {
			case 0:
				s[at] = (char)rng();
				break;
			case 1:
				s[at] ^= (char)(1 << rng() % 8);
				break;
			case 2:
				s.erase(at, 1 + rng() % 8);
				break;
			default:
				s.insert(at, s.substr(rng() % s.size(), 9));
				break;
			}
			if (s.empty())
				s = "x";
		}
		struct error e = {};
		Unpacked u;
		int rc = -1;
		if (kind == 0) {
			struct peer_frame f;
			rc = peer_decode(&u.u, s.data(), s.size(), &f, &e);
			EXPECT_LT(strnlen(f.from, NAME_MAX_BYTES),
				  (size_t)NAME_MAX_BYTES);
		} else if (kind == 1) {
			struct gossip_request a;
			rc = gossip_request_decode(s.data(), s.size(), &a, &e);
			EXPECT_LE(a.updates.n, (uint32_t)GOSSIP_UPDATES_MAX);
			EXPECT_LE(a.anti_entropy.n,
				  (uint32_t)ANTI_ENTROPY_UNSEEN_MAX);
		} else if (kind == 2) {
			static struct gossip_response a;
			rc = gossip_response_decode(&u.u, s.data(), s.size(),
						    &a, &e);
			EXPECT_LE(a.n_objects, (uint32_t)GOSSIP_OBJECTS_MAX);
			EXPECT_LE(a.n_contacts,
				  (uint32_t)FRESHNESS_DOMAINS_MAX);
		} else {
			struct gossip_push t;
			rc = gossip_push_decode(&u.u, s.data(), s.size(), &t,
						&e);
		}
		EXPECT_EQ(rc == 0, e.code == ERR_NONE);
		rc == 0 ? good++ : bad++;
	}
	EXPECT_GT(good, 0);
	EXPECT_GT(bad, 0);
}
} // namespace
