/** @file once_client.h Interface of an entry host to the recorders. */

#ifndef WASABIWIND_ENTRY_ONCE_CLIENT_H_
#define WASABIWIND_ENTRY_ONCE_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/error_type.h"
#include "base/id_type.h"
#include "base/time_type.h"

namespace wasabiwind::entry {

/** What the recorders decided about a claim. */
enum class ClaimStatus : std::uint8_t {
  kGranted,      ///< this claim alone may send the request
  kFinished,     ///< an earlier claim finished; its answer is attached
  kInProgress,   ///< an earlier claim of the same request is running
  kConflict,     ///< the key belongs to a request with another fingerprint
  kExpired,      ///< the key is older than its retention
  kUnknown,      ///< an earlier claim may have run and left no answer
  kUnavailable,  ///< no majority of recorders answered; nothing is granted
  kEnd,
};

/** Request for the right to send one non-repeatable request. */
struct ClaimRequest {
  std::string m_region;       ///< home region of the service
  std::string m_key;          ///< unique within the region
  std::string m_fingerprint;  ///< hash of the request
  base::milliseconds m_retention{0};
  /** When the caller made the key, by its own clock, if it said so. */
  std::optional<base::milliseconds> m_created_since_epoch;
  base::TimePoint m_deadline;
};

struct ClaimDecision {
  ClaimStatus m_status = ClaimStatus::kUnavailable;
  std::string m_claim_id;  ///< for kGranted
  std::string m_answer;    ///< for kFinished: what Complete stored
};

/**
 * Claims at the recorders of a region. Methods are thread-safe; they suspend
 * the calling fiber for a bounded time. Claim ends by the request's deadline.
 * @pre called inside RunFiberThread
 */
class OnceClient {
 public:
  virtual ~OnceClient() = default;

  /** Asks for the right to send a request. */
  virtual ClaimDecision Claim(const ClaimRequest &request) = 0;

  /**
   * Stores the answer of a granted claim.
   * @return kUnavailable if no majority stored it; a resend is then told that
   *         the outcome is unknown
   */
  virtual base::Result<void> Complete(const ClaimRequest &request,
                                      const std::string &claim_id,
                                      const std::string &answer) = 0;

  /**
   * Gives up a granted claim, which frees its key.
   * @pre no byte of the request was sent
   */
  virtual void Release(const ClaimRequest &request,
                       const std::string &claim_id) = 0;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_ONCE_CLIENT_H_
