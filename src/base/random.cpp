/** @file random.cpp Seeded random numbers for repeatable decisions. */

#include <cassert>
#include <cmath>
#include <random>

#include "base/random_func.h"

namespace wasabiwind::base {

std::uint64_t NextRandom(Random *random) {
  random->m_state += 0x9E3779B97F4A7C15ULL;
  std::uint64_t z = random->m_state;
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

std::uint64_t NextRandomBelow(Random *random, std::uint64_t bound) {
  assert(bound > 0);
  return NextRandom(random) % bound;
}

double NextRandomUnit(Random *random) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(NextRandom(random) >> 11) * kScale;
}

double NextRandomExponential(Random *random, double mean) {
  return -mean * std::log1p(-NextRandomUnit(random));
}

std::uint64_t MakeSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace wasabiwind::base
