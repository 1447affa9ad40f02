#include "object_history.h"

void ObjectHistory::written(int64_t at, const std::string &kind,
			    const std::string &name, const Object &o)
{
	changes.push_back({ at, kind, name, false, o });
}

void ObjectHistory::deleted(int64_t at, const std::string &kind,
			    const std::string &name, uint64_t revision)
{
	changes.push_back({ at, kind, name, true, { "", revision } });
}

void ObjectHistory::end_initial_state()
{
	n_initial = changes.size();
}

void ObjectHistory::cut(int64_t at)
{
	while (changes.size() > n_initial && changes.back().at > at)
		changes.pop_back();
}

Objects ObjectHistory::copy(int64_t at, uint64_t *revision) const
{
	Objects out;

	*revision = 0;
	for (size_t i = 0; i < changes.size(); i++) {
		const Change &c = changes[i];

		if (i >= n_initial && c.at > at)
			break;
		if (c.deleted)
			out[c.kind].erase(c.name);
		else
			out[c.kind][c.name] = c.object;
		*revision = c.object.revision;
	}
	return out;
}
