/** @file run.cpp Runs a schedule against entry hosts. */

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>
#include <thread>

#include "load/run_func.h"
#include "net/fiber_scheduler.h"
#include "standin/timer_func.h"

namespace wasabiwind::load {

namespace {

/** State of one sending thread. */
struct Sender {
  Sender(const RunOptions &options, std::uint64_t seed)
      : m_addresses(options.m_entry_hosts, options.m_direct,
                    base::Random{seed}),
        m_caller(options.m_caller, &m_addresses, &m_result.m_token_gap) {}

  LoadResult m_result;
  AddressCache m_addresses;
  Caller m_caller;
  int m_in_flight = 0;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_all_ended;
};

void SendRequest(Sender *sender, const PlannedRequest &request,
                 base::TimePoint intended, const ResultCallback &on_result,
                 RunProgress *progress) {
  RequestResult result = sender->m_caller.Send(request, intended);
  AddResult(&sender->m_result, request, result);
  ++progress->m_ended;
  if (result.m_outcome == Outcome::kComplete) ++progress->m_complete;
  on_result(request, result);
  --sender->m_in_flight;
  if (sender->m_in_flight == 0) sender->m_all_ended.notify_all();
}

void StartRequest(Sender *sender, const PlannedRequest &request,
                  base::TimePoint intended, const RunOptions &options,
                  const ResultCallback &on_result, RunProgress *progress) {
  if (sender->m_in_flight >= options.m_max_in_flight) {
    RequestResult result;
    result.m_outcome = Outcome::kNotSent;
    AddResult(&sender->m_result, request, result);
    on_result(request, result);
    return;
  }
  ++sender->m_in_flight;
  ++progress->m_sent;
  boost::fibers::fiber([sender, &request, intended, &on_result, progress] {
    SendRequest(sender, request, intended, on_result, progress);
  }).detach();
}

/** Sends every `threads`-th request from `first` on. */
void RunSender(const RunOptions &options,
               const std::vector<PlannedRequest> &schedule, std::size_t first,
               base::TimePoint start, const ResultCallback &on_result,
               RunProgress *progress, LoadResult *result) {
  Sender sender(options, options.m_seed + first);
  auto step = static_cast<std::size_t>(options.m_threads);
  for (std::size_t i = first; i < schedule.size(); i += step) {
    const PlannedRequest &request = schedule[i];
    base::TimePoint intended = start + request.m_offset;
    standin::SleepUntil(intended);
    ++sender.m_result.m_planned;
    StartRequest(&sender, request, intended, options, on_result, progress);
    if (!request.m_send_twice) continue;
    ++sender.m_result.m_planned;
    StartRequest(&sender, request, intended, options, on_result, progress);
  }
  {
    std::unique_lock<boost::fibers::mutex> lock(sender.m_mutex);
    sender.m_all_ended.wait(lock,
                            [&sender] { return sender.m_in_flight == 0; });
  }
  sender.m_result.m_length = base::Clock::now() - start;
  *result = sender.m_result;
}

}  // namespace

LoadResult RunSchedule(const RunOptions &options,
                       const std::vector<PlannedRequest> &schedule,
                       const ResultCallback &on_result, RunProgress *progress) {
  auto count = static_cast<std::size_t>(std::max(1, options.m_threads));
  RunOptions thread_options = options;
  thread_options.m_threads = static_cast<int>(count);
  std::vector<LoadResult> results(count);
  std::vector<std::thread> threads;
  base::TimePoint start = base::Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    threads.emplace_back([&, i] {
      net::RunFiberThread([&, i] {
        RunSender(thread_options, schedule, i, start, on_result, progress,
                  &results[i]);
      });
    });
  }
  for (std::thread &thread : threads) thread.join();
  LoadResult total;
  for (const LoadResult &result : results) MergeResult(&total, result);
  return total;
}

}  // namespace wasabiwind::load
