/** @file random_func.h Seeded random numbers for repeatable decisions. */

#ifndef WASABIWIND_BASE_RANDOM_FUNC_H_
#define WASABIWIND_BASE_RANDOM_FUNC_H_

#include <cstdint>

namespace wasabiwind::base {

/** State of a SplitMix64 generator. Not thread-safe; copyable. */
struct Random {
  std::uint64_t m_state = 0;
};

/** @return the next 64 random bits. */
std::uint64_t NextRandom(Random *random);

/**
 * @param bound exclusive upper bound
 * @pre bound > 0
 * @return a number in [0, bound)
 */
std::uint64_t NextRandomBelow(Random *random, std::uint64_t bound);

/** @return a number in [0, 1). */
double NextRandomUnit(Random *random);

/** @return an exponentially distributed number with the given mean. */
double NextRandomExponential(Random *random, double mean);

/** @return a seed from the operating system, for programs that need one. */
std::uint64_t MakeSeed();

}  // namespace wasabiwind::base

#endif  // WASABIWIND_BASE_RANDOM_FUNC_H_
