#ifndef TESTS_SESSIONS_OBJECT_HISTORY_H
#define TESTS_SESSIONS_OBJECT_HISTORY_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

struct Object {
	std::string spec;
	uint64_t revision = 0;
};

// The objects by kind and name.
using Objects = std::map<std::string, std::map<std::string, Object>>;

// Every change of the store's objects with its time, from which a copy of the
// store at any earlier time is made.
class ObjectHistory
{
      public:
	// Records that the object was written at this time, in milliseconds.
	void written(int64_t at, const std::string &kind,
		     const std::string &name, const Object &o);
	void deleted(int64_t at, const std::string &kind,
		     const std::string &name, uint64_t revision);
	// Changes recorded so far belong to the initial state, which every copy
	// contains.
	void end_initial_state();
	// Forgets the changes after this time: the store was restored as it was
	// then.
	void cut(int64_t at);
	// Returns the objects as they were at this time, and sets "revision" to
	// the store's revision then.
	Objects copy(int64_t at, uint64_t *revision) const;

      private:
	struct Change {
		int64_t at;
		std::string kind;
		std::string name;
		bool deleted;
		Object object; // a deleted one has only a revision
	};

	std::vector<Change> changes;
	size_t n_initial = 0;
};

#endif
