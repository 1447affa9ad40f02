#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

extern "C" {
#include "plugins/platform_objects.h"
}

namespace
{
using Lines = std::vector<std::string>;

void add_object(void *ctx, const char *name, uint64_t version, const char *body)
{
	static_cast<Lines *>(ctx)->push_back(std::string(name) + "@" +
					     std::to_string(version) + body);
}

void add_vm(void *ctx, const struct member *vm)
{
	static_cast<Lines *>(ctx)->push_back(
		std::string(vm->name) + "/" + vm->domain + "/" +
		std::to_string(vm->incarnation) +
		(vm->departing ? "/departing" : "/live"));
}

const std::string kObjects =
	"{\"revision\":41,\"objects\":["
	"{\"name\":\"teams/0a\",\"version\":3,\"body\":{\"teams\":{}}},"
	"{\"name\":\"others/x\",\"version\":1,\"body\":{}},"
	"{\"name\":\"config/defaults\",\"version\":9,\"body\":{\"burst\":1}}]}";

std::string make_vm_list(const std::string &more)
{
	return "{\"vms\":[{\"name\":\"vm-1\",\"domain\":\"a\","
	       "\"incarnation\":5,\"peer\":\"10.0.0.1:1\","
	       "\"caller\":\"10.0.0.1:2\",\"state\":\"live\"}" +
	       more + "]}";
}

TEST(PlatformObjects, PassesOnlyObjectsOfThisSystem)
{
	struct error e = {};
	Lines got;
	uint64_t revision = 0;
	ASSERT_EQ(platform_objects_parse(kObjects.c_str(), &revision,
					 add_object, &got, &e),
		  0);
	EXPECT_EQ(revision, 41u);
	EXPECT_EQ(got, (Lines{ "teams/0a@3{\"teams\":{}}",
			       "config/defaults@9{\"burst\":1}" }));
}

TEST(PlatformObjects, MalformedResponseHasNoEffect)
{
	const char *good = "{\"name\":\"teams/0a\",\"version\":3,\"body\":{}}";
	const struct {
		const char *what;
		std::string response;
	} cases[] = {
		{ "nothing", "" },
		{ "broken", "{\"revision\":1,\"objects\":[" },
		{ "no revision", "{\"objects\":[]}" },
		{ "negative revision", "{\"revision\":-1,\"objects\":[]}" },
		{ "objects are no list", "{\"revision\":1,\"objects\":{}}" },
		{ "version 0", std::string("{\"revision\":1,\"objects\":[") +
				       good +
				       ",{\"name\":\"teams/0b\",\"version\":0,"
				       "\"body\":{}}]}" },
		{ "no body",
		  std::string("{\"revision\":1,\"objects\":[") + good +
			  ",{\"name\":\"teams/0b\",\"version\":1}]}" },
		{ "long name", std::string("{\"revision\":1,\"objects\":[") +
				       good + ",{\"name\":\"teams/" +
				       std::string(200, 'x') +
				       "\",\"version\":1,\"body\":{}}]}" },
	};
	for (const auto &c : cases) {
		struct error e = {};
		Lines got;
		uint64_t revision = 7;
		EXPECT_EQ(platform_objects_parse(c.response.c_str(), &revision,
						 add_object, &got, &e),
			  -1)
			<< c.what;
		EXPECT_EQ(e.code, ERR_BAD_REQUEST) << c.what;
		EXPECT_TRUE(got.empty()) << c.what;
		EXPECT_EQ(revision, 7u) << c.what;
	}
}

TEST(PlatformObjects, ParsesListOfVms)
{
	struct error e = {};
	Lines got;
	std::string second = ",{\"name\":\"vm-2\",\"domain\":\"b\","
			     "\"incarnation\":6,\"peer\":\"10.0.0.2:1\","
			     "\"caller\":\"10.0.0.2:2\",\"state\":";
	ASSERT_EQ(platform_vms_parse(
			  make_vm_list(second + "\"departing\"}").c_str(),
			  add_vm, &got, &e),
		  0);
	EXPECT_EQ(got, (Lines{ "vm-1/a/5/live", "vm-2/b/6/departing" }));
	got.clear();
	EXPECT_EQ(platform_vms_parse(make_vm_list(second + "\"gone\"}").c_str(),
				     add_vm, &got, &e),
		  -1);
	EXPECT_TRUE(got.empty());
}

TEST(PlatformObjects, RecordSurvivesRoundTrip)
{
	struct member self = {};
	snprintf(self.name, sizeof(self.name), "vm-9");
	snprintf(self.domain, sizeof(self.domain), "c");
	snprintf(self.peer, sizeof(self.peer), "10.0.0.9:1");
	snprintf(self.caller, sizeof(self.caller), "10.0.0.9:2");
	self.incarnation = 1764796800000000;
	self.departing = true;
	char *record = platform_vm_record(&self);
	ASSERT_NE(record, nullptr);
	struct error e = {};
	Lines got;
	EXPECT_EQ(platform_vms_parse(
			  (std::string("{\"vms\":[") + record + "]}").c_str(),
			  add_vm, &got, &e),
		  0);
	EXPECT_EQ(got, (Lines{ "vm-9/c/1764796800000000/departing" }));
	free(record);
}

TEST(PlatformObjects, RandomMutationsSucceedOrSetAnError)
{
	std::mt19937 rng(11);
	const std::string seeds[] = { kObjects, make_vm_list("") };
	int refused = 0;
	for (int i = 0; i < 20000; i++) {
		std::string s = seeds[i % 2];
		for (int n = 1 + (int)(rng() % 3); n > 0; n--) {
			size_t at = rng() % s.size();
			switch (rng() % 3) {
			case 0:
				s[at] = (char)rng();
				break;
			case 1:
				s.erase(at, 1 + rng() % 5);
				break;
			default:
				s.insert(at, s.substr(rng() % s.size(), 12));
				break;
			}
		}
		struct error e = {};
		Lines got;
		uint64_t revision;
		int rc = i % 2 ? platform_vms_parse(s.c_str(), add_vm, &got, &e)
			       : platform_objects_parse(s.c_str(), &revision,
							add_object, &got, &e);
		EXPECT_EQ(rc == 0, e.code == ERR_NONE) << s;
		if (rc != 0) {
			EXPECT_TRUE(got.empty()) << s;
			refused++;
		}
	}
	EXPECT_GT(refused, 1000);
}
} // namespace
