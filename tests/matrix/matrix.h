#ifndef TESTS_MATRIX_H
#define TESTS_MATRIX_H

// The fault matrix: every step against every fault, each cell judged by the
// promises of the system.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "decide/error.h"
}

// The columns.
#define FAULT_TABLE(X)                                             \
	X(NONE, "no fault")                                        \
	X(DIE_BEFORE, "peer dies before the effect")               \
	X(DIE_AFTER, "peer dies after the effect")                 \
	X(REPLY_LOST, "reply lost")                                \
	X(DELAYED, "delayed past the time limit")                  \
	X(DOUBLED, "doubled")                                      \
	X(REORDERED, "out of order")                               \
	X(SILENT, "connection silent")                             \
	X(PAUSE, "holder paused past every limit")                 \
	X(CUT_ONE_WAY, "partition one way")                        \
	X(CUT_BOTH, "partition both ways")                         \
	X(PLATFORM_DOWN, "platform down")                          \
	X(PLATFORM_SLOW, "platform slow")                          \
	X(PLATFORM_LOST, "platform's reply lost after its effect") \
	X(KEY_WITHDRAWN, "key withdrawn")

enum fault {
#define X(id, text) FAULT_##id,
	FAULT_TABLE(X)
#undef X
		FAULT_COUNT
};

// One cell: a step under one fault, or under two at once ("second" not NONE).
struct matrix_cell {
	enum step step;
	enum fault fault;
	enum fault second;
	uint64_t seed;
};

// Returns an empty string if every promise held, else which one broke. The
// fault must have struck; a run in which it did not is a failure too.
using matrix_run = std::function<std::string(const matrix_cell &)>;

// One row: a step with the faults that can strike it. The registry makes a
// cell of each fault, and of each pair if "pairs" is set, over "seeds" seeds;
// a cell passes if all its seeds do.
struct matrix_row {
	enum step step;
	std::vector<enum fault> faults;
	bool pairs;
	uint32_t seeds;
	matrix_run run;
};

// Called from a static initialiser of each file with rows.
struct matrix_register {
	explicit matrix_register(std::vector<matrix_row> rows);
};

const std::vector<matrix_row> &matrix_rows();
const char *fault_name(enum fault f);

#endif
