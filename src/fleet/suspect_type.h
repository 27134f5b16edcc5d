/** @file suspect_type.h What may crash the runners that begin to answer it. */

#ifndef WASABIWIND_FLEET_SUSPECT_TYPE_H_
#define WASABIWIND_FLEET_SUSPECT_TYPE_H_

#include <quarantine.pb.h>

#include <compare>
#include <cstdint>
#include <utility>

namespace wasabiwind::fleet {

/** A part of a prompt, or a request that comes again. */
struct Suspect {
  gen::SuspectKind m_kind = gen::SUSPECT_PART;
  std::uint64_t m_key = 0;

  auto operator<=>(const Suspect &) const = default;

  template <typename State>
  friend State AbslHashValue(State state, const Suspect &suspect) {
    return State::combine(std::move(state), suspect.m_kind, suspect.m_key);
  }
};

inline Suspect MakeRequestSuspect(std::uint64_t key) {
  return Suspect{gen::SUSPECT_REQUEST, key};
}

inline Suspect MakePartSuspect(std::uint64_t key) {
  return Suspect{gen::SUSPECT_PART, key};
}

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_SUSPECT_TYPE_H_
