#include "matrix.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>

namespace
{
// Steps that exchange no message and take no decision that a fault could
// affect.
const std::set<enum step> kNotInMatrix = {
	STEP_NONE,
	STEP_SETTINGS,
	STEP_LISTEN,
	STEP_PARSE,
};

std::vector<matrix_row> &registry()
{
	static std::vector<matrix_row> rows;
	return rows;
}

std::string cell_name(const matrix_cell &c)
{
	std::string s =
		std::string(step_name(c.step)) + " / " + fault_name(c.fault);
	if (c.second != FAULT_NONE)
		s += " + " + std::string(fault_name(c.second));
	return s;
}

// Returns the cells that KNOWN-RED.txt lists in lines "matrix: CELL".
std::set<std::string> known_failures()
{
	std::set<std::string> names;
	std::ifstream in("KNOWN-RED.txt");
	std::string line;
	while (std::getline(in, line)) {
		if (line.rfind("matrix: ", 0) == 0)
			names.insert(line.substr(8));
	}
	return names;
}

std::vector<matrix_cell> cells_of(const matrix_row &r)
{
	std::vector<matrix_cell> cells;
	for (size_t i = 0; i < r.faults.size(); i++) {
		cells.push_back({ r.step, r.faults[i], FAULT_NONE, 0 });
		for (size_t j = i + 1; r.pairs && j < r.faults.size(); j++)
			cells.push_back(
				{ r.step, r.faults[i], r.faults[j], 0 });
	}
	return cells;
}

// Runs a cell with each of its seeds. Returns the first violation with its
// seed, or an empty string.
std::string run_cell(const matrix_row &r, matrix_cell c)
{
	for (uint32_t i = 0; i < r.seeds; i++) {
		c.seed = 1 + i + 1000 * c.fault + 100000 * c.second;
		std::string s = r.run(c);
		if (!s.empty())
			return s + " (seed " + std::to_string(c.seed) + ")";
	}
	return "";
}

struct Tally {
	int cells = 0;
	int passed = 0;
	int known_failing = 0;
};

void write_table(const std::map<std::pair<int, int>, std::string> &results,
		 const std::map<int, Tally> &pairs, const Tally &all)
{
	const char *path = getenv("MATRIX_WRITE");
	if (!path)
		return;
	std::ofstream out(path);
	out << "# Fault matrix\n\nWritten by `scripts/matrix --write`. A row is "
	       "a step, as errors carry it; a column is\na fault that strikes "
	       "there. `ok`: every promise held over all seeds; `red`: known\n"
	       "to fail (KNOWN-RED.txt); `-`: the fault cannot strike there. "
	       "The last column counts\npairs of faults that strike at once.\n\n";
	int n = 0;
	for (int f = 1; f < FAULT_COUNT; f++)
		out << ++n << ". " << fault_name((enum fault)f) << "\n";
	out << "\n| step |";
	for (int f = 1; f < FAULT_COUNT; f++)
		out << " " << f << " |";
	out << " pairs |\n| --- |";
	for (int f = 1; f <= FAULT_COUNT; f++)
		out << " --- |";
	out << "\n";
	for (int s = 0; s < STEP_COUNT; s++) {
		if (kNotInMatrix.count((enum step)s))
			continue;
		out << "| " << step_name((enum step)s) << " |";
		for (int f = 1; f < FAULT_COUNT; f++) {
			auto it = results.find({ s, f });
			out << " " << (it == results.end() ? "-" : it->second)
			    << " |";
		}
		auto p = pairs.find(s);
		if (p == pairs.end())
			out << " - |\n";
		else
			out << " " << p->second.passed << "/" << p->second.cells
			    << " |\n";
	}
	out << "\n"
	    << all.cells << " cells, " << all.passed << " passed, "
	    << all.known_failing << " known red.\n";
}
} // namespace

matrix_register::matrix_register(std::vector<matrix_row> rows)
{
	registry().insert(registry().end(), rows.begin(), rows.end());
}

const std::vector<matrix_row> &matrix_rows()
{
	return registry();
}

const char *fault_name(enum fault f)
{
	static const char *const names[] = {
#define X(id, text) text,
		FAULT_TABLE(X)
#undef X
	};
	return f < FAULT_COUNT ? names[f] : "none";
}

TEST(Matrix, EveryStepHasCells)
{
	std::set<enum step> have;
	std::set<std::string> known_failing = known_failures();
	for (const auto &r : matrix_rows()) {
		EXPECT_FALSE(r.faults.empty()) << step_name(r.step);
		EXPECT_GT(r.seeds, 0U) << step_name(r.step);
		have.insert(r.step);
	}
	for (int s = 0; s < STEP_COUNT; s++) {
		if (kNotInMatrix.count((enum step)s))
			continue;
		std::string none = step_name((enum step)s);
		none += " / no cells";
		bool known = known_failing.count(none) > 0;
		EXPECT_NE(have.count((enum step)s) > 0, known) << none;
		if (known)
			printf("known red: %s\n", none.c_str());
	}
}

TEST(Matrix, EveryCellKeepsTheGuarantees)
{
	std::map<std::pair<int, int>, std::string> results;
	std::map<int, Tally> pairs;
	std::set<std::string> known_failing = known_failures();
	Tally all;
	for (const auto &r : matrix_rows()) {
		for (const auto &c : cells_of(r)) {
			std::string violation = run_cell(r, c);
			bool known = known_failing.count(cell_name(c)) > 0;
			bool single = c.second == FAULT_NONE;
			all.cells++;
			all.passed += violation.empty();
			all.known_failing += !violation.empty() && known;
			if (single)
				results[{ c.step, c.fault }] =
					violation.empty() ? "ok" : "red";
			else
				pairs[c.step].cells++;
			if (!single)
				pairs[c.step].passed += violation.empty();
			if (!violation.empty() && known)
				printf("known red: %s: %s\n",
				       cell_name(c).c_str(), violation.c_str());
			else
				EXPECT_EQ(violation, "") << cell_name(c);
		}
	}
	// A step without cells counts as one known failure.
	for (const auto &name : known_failing) {
		bool step = name.find(" / no cells") != std::string::npos;
		all.cells += step;
		all.known_failing += step;
	}
	write_table(results, pairs, all);
	printf("fault matrix: %d cells, %d passed, %d known red\n", all.cells,
	       all.passed, all.known_failing);
}
