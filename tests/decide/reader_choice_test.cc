#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "decide/reader_choice.h"
}

namespace
{
struct Vm {
	const char *domain;
	uint32_t capacity;
	bool fails;
};

// Returns the ids of the VMs that read, in order.
std::vector<uint32_t> readers(const std::vector<Vm> &fleet)
{
	std::vector<reader_vm> vm;
	for (uint32_t i = 0; i < fleet.size(); i++)
		vm.push_back({ .domain = fleet[i].domain,
			       .hash = (uint64_t)(i + 1) * 7919 % 1009,
			       .capacity = fleet[i].capacity,
			       .id = i,
			       .fails = fleet[i].fails,
			       .reads = false });
	reader_choice(vm.data(), (uint32_t)vm.size());
	std::vector<uint32_t> out;
	for (const auto &v : vm) {
		if (v.reads)
			out.push_back(v.id);
	}
	std::sort(out.begin(), out.end());
	return out;
}

TEST(ReaderChoice, Choice)
{
	const struct {
		const char *name;
		std::vector<Vm> fleet;
		std::vector<uint32_t> readers;
	} cases[] = {
		{ "no VM", {}, {} },
		{ "a VM alone", { { "a", 25, false } }, { 0 } },
		{ "a VM alone that is not answered",
		  { { "a", 25, true } },
		  { 0 } },
		{ "the two strongest",
		  { { "a", 12, false },
		    { "a", 50, false },
		    { "a", 25, false } },
		  { 1, 2 } },
		{ "two of each domain",
		  { { "a", 1, false },
		    { "b", 3, false },
		    { "a", 3, false },
		    { "b", 2, false },
		    { "a", 2, false },
		    { "b", 1, false } },
		  { 1, 2, 3, 4 } },
		{ "a stronger one that is not answered does not read",
		  { { "a", 50, true },
		    { "a", 25, false },
		    { "a", 12, false },
		    { "a", 11, false },
		    { "a", 10, false },
		    { "a", 9, false } },
		  { 1, 2, 3, 4, 5 } },
		{ "one that is not answered, if too few are",
		  { { "a", 50, true }, { "a", 25, false }, { "a", 12, true } },
		  { 0, 1, 2 } },
		{ "another domain's failures don't count",
		  { { "a", 50, true },
		    { "b", 25, false },
		    { "b", 12, false },
		    { "b", 11, false } },
		  { 0, 1, 2 } },
	};
	for (const auto &c : cases)
		EXPECT_EQ(readers(c.fleet), c.readers) << c.name;
}

TEST(ReaderChoice, FewReadOnceNoneIsAnswered)
{
	std::vector<Vm> fleet(390, { "a", 25, true });
	EXPECT_EQ(readers(fleet).size(), (size_t)READER_CHOICE_FAILING_MAX);
}

// Guards against a change that no VM reads in time, as the platform answers one
// VM of a domain only: the newest answer may be 1.5 s old when the first round
// of calls begins, and a call counts as not answered after 0.25 s, so that five
// rounds leave time in the 3 s within which a configuration has to be in force.
TEST(ReaderChoice, FindsTheOnlyVmThatIsAnswered)
{
	constexpr int kRoundsMax = 5;
	for (uint32_t size : { 1U, 3U, 7U, 22U, 65U, 195U, 390U }) {
		for (uint32_t answered = 0; answered < size; answered++) {
			std::vector<Vm> fleet(size, { "a", 25, false });
			int rounds = 0;
			bool found = false;
			while (!found && rounds <= kRoundsMax) {
				rounds++;
				for (uint32_t id : readers(fleet)) {
					found |= id == answered;
					fleet[id].fails = id != answered;
				}
			}
			EXPECT_LE(rounds, kRoundsMax)
				<< size << " " << answered;
		}
	}
}
} // namespace
