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

struct member_news news_of(const char *name)
{
	struct member_news n = {};
	set(n.member.name, NAME_MAX_BYTES, name);
	set(n.member.domain, NAME_MAX_BYTES, "a");
	set(n.member.peer, ADDR_MAX_BYTES, "10.0.0.1:7000");
	n.member.incarnation = 77;
	n.member.beat = 3;
	n.member.suspect = true;
	n.off_list = true;
	return n;
}

std::string frame()
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

std::string ask()
{
	struct gossip_ask a = {};
	a.spread.id = 5;
	a.spread.complete = 900;
	a.spread.cursor = { 7, UINT64_MAX, 901, true, false };
	a.spread.n = 1;
	set(a.spread.unseen[0].name, SPREAD_NAME_BYTES, "teams/0a");
	a.spread.unseen[0].version = 12;
	a.news.n = 2;
	a.news.item[0] = news_of("vm-1");
	a.news.item[1] = news_of("vm-2");
	Buffer b;
	gossip_ask_encode(&b.b, &a);
	return b.str();
}

std::string answer()
{
	static struct gossip_answer a;
	a = {};
	a.id = 5;
	a.cursor = { 1, 2, 3, true, true };
	a.word_age_us = -1;
	a.n_contacts = 1;
	set(a.contacts[0].domain, NAME_MAX_BYTES, "b");
	a.contacts[0].age_us = 2500;
	a.news.n = 1;
	a.news.item[0] = news_of("vm-3");
	a.n_objects = 1;
	set(a.objects[0].name, OBJECT_NAME_BYTES, "config/defaults");
	a.objects[0].version = 4;
	a.objects[0].revision = 8;
	a.objects[0].body = "{}";
	a.objects[0].body_len = 2;
	Buffer b;
	gossip_answer_encode(&b.b, &a);
	return b.str();
}

std::string tell()
{
	struct gossip_tell t = {};
	t.id = 6;
	set(t.object.name, OBJECT_NAME_BYTES, "config/defaults");
	t.object.version = 4;
	t.object.body = "{\"a\":1}";
	t.object.body_len = 7;
	Buffer b;
	gossip_tell_encode(&b.b, &t);
	return b.str();
}

TEST(PeerCodec, FrameComesBack)
{
	std::string s = frame();
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

TEST(PeerCodec, BadFramesAreRefused)
{
	auto packed = [](uint32_t protocol, uint32_t type,
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
		{ "as it should be", packed(1, 1, "vm", 3), true },
		{ "largest body", packed(1, 1, "vm", PEER_BODY_MAX_BYTES),
		  true },
		{ "body too large", packed(1, 1, "vm", PEER_BODY_MAX_BYTES + 1),
		  false },
		{ "other protocol", packed(2, 1, "vm", 3), false },
		{ "no type", packed(1, 0, "vm", 3), false },
		{ "unknown type", packed(1, PEER_TYPE_COUNT, "vm", 3), false },
		{ "no sender", packed(1, 1, "", 3), false },
		{ "long sender", packed(1, 1, std::string(64, 'v'), 3), false },
		{ "NUL in sender", packed(1, 1, std::string("v\0m", 3), 3),
		  false },
		{ "empty", "", false },
		{ "no array", "\x01", false },
		{ "rest after the message", packed(1, 1, "vm", 3) + "\x01",
		  false },
		{ "huge array announced", "\xdd\xff\xff\xff\xff", false },
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

TEST(GossipCodec, QuestionComesBack)
{
	std::string s = ask();
	struct gossip_ask a;
	struct error e = {};
	ASSERT_EQ(gossip_ask_decode(s.data(), s.size(), &a, &e), 0);
	EXPECT_EQ(a.spread.id, 5u);
	EXPECT_EQ(a.spread.complete, 900u);
	EXPECT_EQ(a.spread.cursor.hash, UINT64_MAX);
	EXPECT_EQ(a.spread.cursor.upto, 901u);
	EXPECT_TRUE(a.spread.cursor.ended);
	EXPECT_FALSE(a.spread.cursor.whole);
	ASSERT_EQ(a.spread.n, 1u);
	EXPECT_STREQ(a.spread.unseen[0].name, "teams/0a");
	EXPECT_EQ(a.spread.unseen[0].version, 12u);
	ASSERT_EQ(a.news.n, 2u);
	EXPECT_STREQ(a.news.item[1].member.name, "vm-2");
	EXPECT_EQ(a.news.item[1].member.incarnation, 77u);
	EXPECT_TRUE(a.news.item[1].member.suspect);
	EXPECT_FALSE(a.news.item[1].from_list);
	EXPECT_TRUE(a.news.item[1].off_list);
}

TEST(GossipCodec, AnswerAndTellComeBack)
{
	std::string s = answer();
	static struct gossip_answer a;
	struct error e = {};
	Unpacked u, v;
	ASSERT_EQ(gossip_answer_decode(&u.u, s.data(), s.size(), &a, &e), 0);
	EXPECT_EQ(a.word_age_us, -1);
	ASSERT_EQ(a.n_contacts, 1u);
	EXPECT_EQ(a.contacts[0].age_us, 2500);
	ASSERT_EQ(a.n_objects, 1u);
	EXPECT_EQ(a.objects[0].revision, 8u);
	EXPECT_EQ(std::string(a.objects[0].body, a.objects[0].body_len), "{}");
	s = tell();
	struct gossip_tell t;
	ASSERT_EQ(gossip_tell_decode(&v.u, s.data(), s.size(), &t, &e), 0);
	EXPECT_EQ(t.id, 6u);
	EXPECT_EQ(t.object.version, 4u);
	EXPECT_EQ(t.object.body_len, 7u);
}

TEST(GossipCodec, CountsOverTheirBoundsAreRefused)
{
	struct gossip_ask a = {};
	struct error e = {};
	a.news.n = GOSSIP_NEWS_MAX;
	for (auto &n : a.news.item)
		n = news_of("vm");
	Buffer good, bad;
	gossip_ask_encode(&good.b, &a);
	EXPECT_EQ(gossip_ask_decode(good.b.data, good.b.size, &a, &e), 0);
	// One array header of 12 becomes one of 13, with one more element.
	std::string s = good.str();
	size_t header = s.find('\x9c');
	ASSERT_NE(header, std::string::npos);
	std::string element =
		s.substr(header + 1, (s.size() - header - 1) / 12);
	s[header] = '\x9d';
	s += element;
	EXPECT_EQ(gossip_ask_decode(s.data(), s.size(), &a, &e), -1);
}

// Whatever bytes come, decoding ends, within the bounds that the sanitizers
// watch, and says no with a reason or yes with strings that end.
TEST(PeerCodec, SeededMutationsNeverBreakADecoder)
{
	std::mt19937 rng(7);
	const std::string seeds[] = { frame(), ask(), answer(), tell() };
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
			struct gossip_ask a;
			rc = gossip_ask_decode(s.data(), s.size(), &a, &e);
			EXPECT_LE(a.news.n, (uint32_t)GOSSIP_NEWS_MAX);
			EXPECT_LE(a.spread.n, (uint32_t)SPREAD_UNSEEN_MAX);
		} else if (kind == 2) {
			static struct gossip_answer a;
			rc = gossip_answer_decode(&u.u, s.data(), s.size(), &a,
						  &e);
			EXPECT_LE(a.n_objects, (uint32_t)GOSSIP_OBJECTS_MAX);
			EXPECT_LE(a.n_contacts,
				  (uint32_t)FRESHNESS_DOMAINS_MAX);
		} else {
			struct gossip_tell t;
			rc = gossip_tell_decode(&u.u, s.data(), s.size(), &t,
						&e);
		}
		EXPECT_EQ(rc == 0, e.code == ERR_NONE);
		rc == 0 ? good++ : bad++;
	}
	EXPECT_GT(good, 0);
	EXPECT_GT(bad, 0);
}
} // namespace
