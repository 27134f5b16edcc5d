/** @file runner_check.cpp Whether a runner ended with a lost connection.
 *
 * A request is evidence for the quarantine only if its runner has ended: faulty
 * runners break off single answers, and connections are reset on the way.
 */

#include "base/metrics_func.h"
#include "gateway/gateway.h"
#include "gateway/gateway_internal.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::gateway {

namespace {

constexpr base::milliseconds kCheckTimeout{300};
constexpr std::size_t kMaxRunnerChecks = 64;

void CountCheck(const char *outcome) {
  base::GetCounter("ww_runner_checks_total",
                   "Connections made to see whether a runner has ended",
                   {{"outcome", outcome}})
      .Increment();
}

}  // namespace

/** Has the runner of a lost request checked soon. */
void Gateway::CheckRunner(const LostRequest &lost) {
  if (m_runner_checks.size() >= kMaxRunnerChecks) m_runner_checks.pop_front();
  m_runner_checks.push_back(
      {lost.m_report.upstream(), lost.m_address, lost.m_report.born_ms()});
  m_runner_check_due.notify_one();
}

/** Connects to runners that lost requests, until Stop. */
void Gateway::RunRunnerChecks() {
  while (!m_is_stopped) {
    if (m_runner_checks.empty()) {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      m_runner_check_due.wait(
          lock, [this] { return m_is_stopped || !m_runner_checks.empty(); });
      continue;
    }
    RunnerCheck check = std::move(m_runner_checks.front());
    m_runner_checks.pop_front();
    // One answer serves all requests that the runner lost.
    std::erase_if(m_runner_checks, [&check](const RunnerCheck &other) {
      return other.m_upstream == check.m_upstream &&
             other.m_born_ms == check.m_born_ms;
    });
    base::Result<net::Endpoint> endpoint = net::ParseEndpoint(check.m_address);
    if (!endpoint) continue;
    base::Result<void> connected =
        m_client->Connect(*endpoint, base::Clock::now() + kCheckTimeout);
    bool has_ended =
        !connected && connected.error().m_kind == base::ErrorKind::kIo;
    CountCheck(has_ended ? "ended" : connected ? "runs" : "silent");
    if (has_ended) RecordRunnerEnd(check.m_upstream, check.m_born_ms);
    if (connected) RecordProbed(check.m_upstream, check.m_born_ms);
  }
}

/** Records that the process of a runner refuses connections. */
void Gateway::RecordRunnerEnd(const std::string &upstream,
                              std::uint64_t born_ms) {
  bool has_losses = ConfirmLosses(
      &m_crash_evidence, base::Clock::now(), [&](const LostRequest &lost) {
        return lost.m_report.upstream() == upstream &&
               lost.m_report.born_ms() <= born_ms;
      });
  if (has_losses) m_is_use_report_urgent = true;
}

/** Confirms losses of runners that the fleet view shows as ended; one behind a
 * proxy may accept connections at any time. */
void Gateway::ConfirmLossesByView(base::TimePoint now) {
  bool has_losses =
      ConfirmLosses(&m_crash_evidence, now, [this](const LostRequest &lost) {
        return HasEnded(m_follower.m_view, lost);
      });
  if (has_losses) m_is_use_report_urgent = true;
}

}  // namespace wasabiwind::gateway
