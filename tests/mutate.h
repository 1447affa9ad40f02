#ifndef TESTS_MUTATE_H
#define TESTS_MUTATE_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

// Makes broken inputs from good ones, for loops over decoders: the same seed
// gives the same inputs on every machine.
//
//	Mutator m(1, { good1, good2 }, { "null", "-1" });
//	for (int i = 0; i < 30000; i++)
//		decode(m.next());
class Mutator
{
      public:
	// "words" are put in whole, beside single bytes.
	Mutator(uint64_t seed, std::vector<std::string> seeds,
		std::vector<std::string> words = {})
	    : random(seed), good(std::move(seeds)), extra(std::move(words))
	{
	}

	// A good input, changed in one to four places.
	std::string next()
	{
		std::string s = good[below(good.size())];
		for (size_t n = 1 + below(4); n > 0; n--)
			change(s);
		return s;
	}

      private:
	enum Way {
		kFlip,
		kByte,
		kInsert,
		kWord,
		kErase,
		kRepeat,
		kCut,
		kSplice
	};

	// Not std::uniform_int_distribution, which differs by library.
	size_t below(size_t n)
	{
		return n ? random() % n : 0;
	}
	void change(std::string &s)
	{
		size_t at = below(s.size() + 1);
		size_t len = below(s.size() - at + 1);
		switch (static_cast<Way>(below(kSplice + 1))) {
		case kFlip:
			if (at < s.size())
				s[at] = (char)(s[at] ^ (1 << below(8)));
			break;
		case kByte:
			if (at < s.size())
				s[at] = (char)below(256);
			break;
		case kInsert:
			s.insert(at, 1, (char)below(256));
			break;
		case kWord:
			if (!extra.empty())
				s.insert(at, extra[below(extra.size())]);
			break;
		case kErase:
			s.erase(at, len);
			break;
		case kRepeat:
			s.insert(at, s.substr(at, len));
			break;
		case kCut:
			s.resize(at);
			break;
		case kSplice: {
			const std::string &o = good[below(good.size())];
			s = s.substr(0, at) + o.substr(below(o.size() + 1));
			break;
		}
		}
	}

	std::mt19937_64 random;
	std::vector<std::string> good;
	std::vector<std::string> extra;
};

#endif
