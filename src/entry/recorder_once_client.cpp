/** @file recorder_once_client.cpp Claims at the declared recorder groups. */

#include "entry/recorder_once_client.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace wasabiwind::entry {

namespace {

/** Longest wait for the recorders; one round trip is usual. */
constexpr base::milliseconds kClaimTimeout{2'000};
/** Longest wait until an answer is stored for resends. */
constexpr base::milliseconds kCompleteTimeout{2'000};
/** Time beyond the deadline in which this node may still finish a request. */
constexpr base::milliseconds kExecutionTimeoutMargin{5'000};

ClaimStatus ConvertOutcome(once::ClaimOutcome outcome) {
  switch (outcome) {
    case once::ClaimOutcome::kGranted:
      return ClaimStatus::kGranted;
    case once::ClaimOutcome::kInProgress:
      return ClaimStatus::kInProgress;
    case once::ClaimOutcome::kFinished:
      return ClaimStatus::kFinished;
    case once::ClaimOutcome::kConflict:
      return ClaimStatus::kConflict;
    case once::ClaimOutcome::kUnknown:
      return ClaimStatus::kUnknown;
    default:
      return ClaimStatus::kUnavailable;
  }
}

std::uint64_t ParseClaimId(const std::string &text) {
  std::uint64_t id = 0;
  std::from_chars(text.data(), text.data() + text.size(), id);
  return id;
}

/** @return whether the key is older than its retention; false if its age isn't
 * known. */
bool IsExpired(const ClaimRequest &request) {
  if (!request.m_created_since_epoch) return false;
  auto now = std::chrono::duration_cast<base::milliseconds>(
      base::WallClock::now().time_since_epoch());
  return *request.m_created_since_epoch + request.m_retention < now;
}

}  // namespace

RecorderOnceClient::RecorderOnceClient(once::ClaimClient *client,
                                       GetCatalog get_catalog)
    : m_client(client), m_get_catalog(std::move(get_catalog)) {}

base::Result<once::RecorderEndpoints> RecorderOnceClient::FindRecorders(
    const std::string &region) const {
  config::CatalogPtr catalog = m_get_catalog();
  if (catalog != nullptr) {
    auto group = catalog->m_recorder_groups.find(region);
    if (group != catalog->m_recorder_groups.end()) {
      return once::ParseRecorderEndpoints(
          {group->second->members().begin(), group->second->members().end()});
    }
  }
  return base::MakeError(
      base::ErrorKind::kNotFound,
      fmt::format("region {} has no recorder group", region),
      fmt::format("declare [recorder_group {}] with three members", region));
}

ClaimDecision RecorderOnceClient::Claim(const ClaimRequest &request) {
  ClaimDecision decision;
  if (IsExpired(request)) {
    decision.m_status = ClaimStatus::kExpired;
    return decision;
  }
  base::Result<once::RecorderEndpoints> recorders =
      FindRecorders(request.m_region);
  if (!recorders) return decision;
  base::TimePoint now = base::Clock::now();
  once::ClaimParameters parameters;
  parameters.m_recorders = *recorders;
  parameters.m_key = request.m_key;
  parameters.m_fingerprint =
      XXH3_64bits(request.m_fingerprint.data(), request.m_fingerprint.size());
  parameters.m_retention = request.m_retention;
  parameters.m_execution_timeout =
      kExecutionTimeoutMargin +
      std::chrono::duration_cast<base::milliseconds>(
          std::max(request.m_deadline - now, base::Duration(0)));
  parameters.m_deadline = std::min(request.m_deadline, now + kClaimTimeout);
  once::ClaimResult result = m_client->Claim(parameters);
  decision.m_status = ConvertOutcome(result.m_outcome);
  if (decision.m_status == ClaimStatus::kFinished && !result.m_has_answer) {
    // It ran, but its answer was too long to be kept.
    decision.m_status = ClaimStatus::kUnknown;
  }
  decision.m_claim_id = std::to_string(result.m_claim_id);
  decision.m_answer = std::move(result.m_answer);
  return decision;
}

base::Result<void> RecorderOnceClient::Complete(const ClaimRequest &request,
                                                const std::string &claim_id,
                                                const std::string &answer) {
  base::Result<once::RecorderEndpoints> recorders =
      FindRecorders(request.m_region);
  if (!recorders) return tl::unexpected(recorders.error());
  bool stored =
      m_client->Complete(*recorders, request.m_key, ParseClaimId(claim_id),
                         answer, base::Clock::now() + kCompleteTimeout);
  if (stored) return {};
  return base::MakeError(base::ErrorKind::kUnavailable,
                         "no majority of recorders stored the answer",
                         "check that the recorders run and are reachable");
}

void RecorderOnceClient::Release(const ClaimRequest &request,
                                 const std::string &claim_id) {
  base::Result<once::RecorderEndpoints> recorders =
      FindRecorders(request.m_region);
  if (!recorders) return;
  m_client->Release(*recorders, request.m_key, ParseClaimId(claim_id));
}

}  // namespace wasabiwind::entry
