/** @file engine_attempt.h One attempt to get an answer from an engine. */

#ifndef WASABIWIND_ENTRY_ENGINE_ATTEMPT_H_
#define WASABIWIND_ENTRY_ENGINE_ATTEMPT_H_

#include <optional>
#include <string>

#include "entry/entry_internal.h"
#include "entry/token_stream.h"

namespace wasabiwind::entry {

/** One attempt: what it sends and what has arrived. Belongs to the fibers of
 * one thread. */
struct EngineAttempt {
  UpstreamLease m_lease;
  std::string m_id;  ///< request ID at the engine, of this attempt only
  net::HttpRequest m_request;
  base::TimePoint m_deadline;  ///< of the caller's request

  net::HttpClientPool::StartResult m_start;  ///< without a call once stopped
  std::optional<net::HttpResponse> m_head;
  EventReader m_reader;
  bool m_is_body_complete = false;
  bool m_is_done = false;  ///< the [DONE] event was read
};

/**
 * Connects and sends the request.
 * @return false if the attempt has failed; m_start holds the error
 * @pre called inside RunFiberThread
 */
bool SendAttempt(EntryThread *thread, EngineAttempt *attempt,
                 net::HttpClientPool::Reuse reuse);

/**
 * Waits for the head or, after it, for more of the body. After a timeout the
 * attempt can be read on.
 * @return kTimeout after the deadline, another kind if the attempt has failed
 * @pre SendAttempt succeeded
 */
base::Result<void> ReadMore(EngineAttempt *attempt, base::TimePoint deadline);

/** @return why the answer can't be used, or nothing. @pre the head was read */
std::optional<AttemptFailure> CheckHead(const EngineAttempt &attempt);

/** As CheckHead, for the head of an event stream. */
std::optional<AttemptFailure> CheckStreamHead(const EngineAttempt &attempt);

/**
 * Takes the next event. Appends it to the output if the caller gets it.
 * @return nothing if more bytes are needed
 */
std::optional<EventAction> TakeEvent(EventReader *reader,
                                     TokenProgress *progress,
                                     std::string *output);

/** @return a failure that isn't reported yet. */
AttemptFailure MakeFailure(RetryReason reason, const std::string &detail);

/** Closes the connection, and cancels the attempt at the engine unless that has
 * refused it. May be called again. @pre called inside RunFiberThread */
void StopAttempt(EntryShared *shared, EntryThread *thread,
                 EngineAttempt *attempt);

/** Reports the failure of an attempt while another one of its request runs.
 * @param tokens that the caller has got from it */
void ReportFailure(RequestScope *scope, const EngineAttempt &attempt,
                   RetryReason reason, std::uint64_t tokens);

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_ENGINE_ATTEMPT_H_
