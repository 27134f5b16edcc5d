/** @file gateway_raw_harness.h A gateway whose upstreams write arbitrary bytes,
 * for tests. */

#ifndef WASABIWIND_TESTS_GATEWAY_RAW_HARNESS_H_
#define WASABIWIND_TESTS_GATEWAY_RAW_HARNESS_H_

#include <cstdio>

#include "gateway_harness.h"
#include "raw_runner.h"

namespace wasabiwind::gateway {

/** Runs a body with a gateway whose upstreams are raw runners. */
inline void RunWithRaw(const std::vector<RawRunner *> &runners,
                       const std::function<void(Harness *)> &body) {
  std::vector<std::string> addresses;
  for (RawRunner *runner : runners) addresses.push_back(runner->Address());
  net::RunFiberThread([&] {
    Harness harness({}, addresses);
    harness.EarnRetries();
    body(&harness);
  });
}

/** @return status line and headers of a signed answer, without the empty line.
 */
inline std::string SignedHead(const std::string &request, const char *status) {
  return std::string("HTTP/1.1 ") + status + "\r\nX-Wasabiwind-Request-Id: " +
         GetRawHeader(request, "X-Wasabiwind-Request-Id") +
         "\r\nX-Wasabiwind-Server-Stamp: stamp\r\n";
}

inline std::string SignedAnswer(const std::string &request, const char *status,
                                const std::string &body) {
  return SignedHead(request, status) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Events(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i) {
    std::string id = std::to_string(i);
    text += "id: " + id + "\ndata: " + id + "\n\n";
  }
  return text;
}

inline std::string Chunk(const std::string &text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_TESTS_GATEWAY_RAW_HARNESS_H_
