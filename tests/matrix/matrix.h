#ifndef TESTS_MATRIX_H
#define TESTS_MATRIX_H

// The fault matrix runs every step of the protocols under every fault and
// checks each cell against the guarantees of the system.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "decide/error.h"
}

// The faults, which are the columns of the matrix.
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

// A cell is a step under one fault, or under two at once if "second" is not
// FAULT_NONE.
struct matrix_cell {
	enum step step;
	enum fault fault;
	enum fault second;
	uint64_t seed;
};

// Runs a cell. Returns an empty string if every guarantee held, otherwise a
// description of the first violation. A run in which the fault was never
// injected also counts as a failure.
using matrix_run = std::function<std::string(const matrix_cell &)>;

// A row is a step with the faults that can affect it. The registry makes a
// cell of each fault, and of each pair of faults if "pairs" is set. Each cell
// runs with "seeds" seeds and passes if all of them pass.
struct matrix_row {
	enum step step;
	std::vector<enum fault> faults;
	bool pairs;
	uint32_t seeds;
	matrix_run run;
};

// Registers rows. Each file with rows defines a static instance.
struct matrix_register {
	explicit matrix_register(std::vector<matrix_row> rows);
};

const std::vector<matrix_row> &matrix_rows();
const char *fault_name(enum fault f);

#endif
