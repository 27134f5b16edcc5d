/** @file mutate_func.h Makes inputs for fuzz programs from samples. */

#ifndef WASABIWIND_FUZZ_MUTATE_FUNC_H_
#define WASABIWIND_FUZZ_MUTATE_FUNC_H_

#include <string>
#include <string_view>

#include "base/random_func.h"

namespace wasabiwind::fuzz {

/** Changes, inserts, removes or repeats a few parts. */
inline void Mutate(base::Random *random, std::string *text) {
  std::uint64_t changes = base::NextRandomBelow(random, 4);
  for (std::uint64_t i = 0; i < changes && !text->empty(); ++i) {
    std::size_t at = base::NextRandomBelow(random, text->size());
    std::size_t length = base::NextRandomBelow(random, text->size() - at + 1);
    switch (base::NextRandomBelow(random, 4)) {
      case 0:
        (*text)[at] = static_cast<char>(base::NextRandomBelow(random, 256));
        break;
      case 1:
        text->erase(at, length);
        break;
      case 2:
        text->insert(at, text->substr(at, length));
        break;
      default: {
        constexpr std::string_view kSyntax = "{}[]\",:0-9e\\\n";
        text->insert(at, 1,
                     kSyntax[base::NextRandomBelow(random, kSyntax.size())]);
      }
    }
  }
}

template <typename Samples>
std::string MakeInput(base::Random *random, const Samples &samples) {
  std::string text = samples[base::NextRandomBelow(random, samples.size())];
  Mutate(random, &text);
  return text;
}

}  // namespace wasabiwind::fuzz

#endif  // WASABIWIND_FUZZ_MUTATE_FUNC_H_
