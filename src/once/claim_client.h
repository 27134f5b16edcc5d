/** @file claim_client.h Client that claims keys at recorders. */

#ifndef WASABIWIND_ONCE_CLAIM_CLIENT_H_
#define WASABIWIND_ONCE_CLAIM_CLIENT_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "base/error_type.h"
#include "base/time_type.h"
#include "net/endpoint_type.h"
#include "once/claimant_func.h"

namespace wasabiwind::once {

struct ClaimClientOptions {
  net::Endpoint m_listen;   ///< where recorders send their replies; port 0: any
  std::string m_node_name;  ///< for the logs of the recorders
  /** Maximum number of pending claims, completions and releases. Beyond it,
   * calls fail at once and releases are dropped. */
  std::size_t m_max_pending = 10'000;
};

/** Message endpoints of the recorders of the service's home region. */
using RecorderEndpoints = std::array<net::Endpoint, kGroupSize>;

/** @return the endpoints of a declared group, or kInvalidArgument. */
base::Result<RecorderEndpoints> ParseRecorderEndpoints(
    const std::vector<std::string> &members);

/** Parameters of one claim. */
struct ClaimParameters {
  RecorderEndpoints m_recorders;
  std::string m_key;  ///< unique with service and customer, such as
                      ///< "service/customer/key"
  std::uint64_t m_fingerprint = 0;  ///< hash of method, path and body
  base::milliseconds m_retention{0};
  /** Time within which the request is answered or fails. Until then other
   * claims of the key get kInProgress, afterwards kUnknown. */
  base::milliseconds m_execution_timeout{0};
  base::TimePoint m_deadline;  ///< of the claim itself
};

struct ClaimResult {
  ClaimOutcome m_outcome = ClaimOutcome::kUnavailable;
  std::uint64_t m_claim_id = 0;  ///< for Complete and Release, if granted
  bool m_has_answer = false;     ///< kFinished: the answer was kept
  std::string m_answer;
};

/**
 * Claims keys at recorders. It runs one thread of its own with one message
 * transport. All methods but Start and Stop are thread-safe. Claim and Complete
 * suspend the calling fiber, or block a thread without fibers, until the
 * deadline at most.
 */
class ClaimClient {
 public:
  explicit ClaimClient(ClaimClientOptions options);
  ~ClaimClient();
  ClaimClient(const ClaimClient &) = delete;
  ClaimClient &operator=(const ClaimClient &) = delete;

  /** Binds and starts the thread. @pre called once */
  base::Result<void> Start();

  /** Ends the thread. Pending calls return kUnavailable or false.
   * @pre no further call is made */
  void Stop();

  /**
   * Claims a key. If several claimants split the recorders between them, it
   * releases and tries again until the deadline. After any outcome but
   * kGranted the claim is released at all recorders that can be reached.
   */
  ClaimResult Claim(const ClaimParameters &parameters);

  /**
   * Stores the answer of a granted claim for resends.
   * @return whether a majority has stored it; otherwise resends get
   *         kInProgress and later kUnknown
   */
  bool Complete(const RecorderEndpoints &recorders, const std::string &key,
                std::uint64_t claim_id, const std::string &answer,
                base::TimePoint deadline);

  /**
   * Releases a granted claim whose request was certainly not sent. Returns
   * at once; the release is repeated in the background for some seconds.
   */
  void Release(const RecorderEndpoints &recorders, const std::string &key,
               std::uint64_t claim_id);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::once

#endif  // WASABIWIND_ONCE_CLAIM_CLIENT_H_
