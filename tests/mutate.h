#ifndef TESTS_MUTATE_H
#define TESTS_MUTATE_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

// Generates malformed inputs from valid ones to fuzz decoders. A given seed
// produces the same inputs on every machine.
//
//	Mutator m(1, { good1, good2 }, { "null", "-1" });
//	for (int i = 0; i < 30000; i++)
//		decode(m.next());
class Mutator
{
      public:
	// "seeds" are the valid inputs. "words" are inserted whole, in addition
	// to single bytes.
	Mutator(uint64_t seed, std::vector<std::string> seeds,
		std::vector<std::string> words = {})
	    : random(seed), valid(std::move(seeds)),
	      dictionary(std::move(words))
	{
	}

	// Returns a valid input with one to four mutations.
	std::string next()
	{
		std::string s = valid[below(valid.size())];
		for (size_t n = 1 + below(4); n > 0; n--)
			mutate(s);
		return s;
	}

      private:
	enum Mutation {
		kFlipBit,
		kSetByte,
		kInsertByte,
		kInsertWord,
		kEraseRange,
		kRepeatRange,
		kTruncate,
		kSplice
	};

	// Avoids std::uniform_int_distribution, whose results differ between
	// standard libraries.
	size_t below(size_t n)
	{
		return n ? random() % n : 0;
	}
	void mutate(std::string &s)
	{
		size_t at = below(s.size() + 1);
		size_t len = below(s.size() - at + 1);
		switch (static_cast<Mutation>(below(kSplice + 1))) {
		case kFlipBit:
			if (at < s.size())
				s[at] = (char)(s[at] ^ (1 << below(8)));
			break;
		case kSetByte:
			if (at < s.size())
				s[at] = (char)below(256);
			break;
		case kInsertByte:
			s.insert(at, 1, (char)below(256));
			break;
		case kInsertWord:
			if (!dictionary.empty())
				s.insert(at,
					 dictionary[below(dictionary.size())]);
			break;
		case kEraseRange:
			s.erase(at, len);
			break;
		case kRepeatRange:
			s.insert(at, s.substr(at, len));
			break;
		case kTruncate:
			s.resize(at);
			break;
		case kSplice: {
			const std::string &o = valid[below(valid.size())];
			s = s.substr(0, at) + o.substr(below(o.size() + 1));
			break;
		}
		}
	}

	std::mt19937_64 random;
	std::vector<std::string> valid;
	std::vector<std::string> dictionary;
};

#endif
