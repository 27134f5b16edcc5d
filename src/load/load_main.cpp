/** @file load_main.cpp Program ww_load, an open-loop load generator. */

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include "base/log_func.h"
#include "load/run_func.h"
#include "net/command_line_func.h"

ABSL_FLAG(std::vector<std::string>, entries, {},
          "entry hosts ip:port to ask for addresses");
ABSL_FLAG(bool, direct, false, "send to --entries without asking them");
ABSL_FLAG(std::string, arrival, "poisson", "poisson, uniform, bursts or swing");
ABSL_FLAG(double, rate, 10.0, "requests/s; the lowest rate of a swing");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(10), "length of the run");
ABSL_FLAG(int, burst_size, 20, "requests of a burst");
ABSL_FLAG(absl::Duration, burst_every, absl::Seconds(2), "time between bursts");
ABSL_FLAG(double, swing_peak, 3.0, "highest rate as a multiple of --rate");
ABSL_FLAG(std::string, replay, "",
          "file of JSON lines to send instead of a generated schedule");
ABSL_FLAG(std::vector<std::string>, models, {},
          "model names, most popular first");
ABSL_FLAG(double, skew, 1.0, "Zipf exponent of the popularity of models");
ABSL_FLAG(int, short_tokens, 32, "most output tokens of short requests");
ABSL_FLAG(int, short_prompt, 400, "longest prompt of short requests, bytes");
ABSL_FLAG(int, long_tokens, 600, "most output tokens of long requests");
ABSL_FLAG(int, long_prompt, 8000, "longest prompt of long requests, bytes");
ABSL_FLAG(double, long_share, 0.0, "share of long requests among completions");
ABSL_FLAG(double, stream_share, 1.0, "share of streams among completions");
ABSL_FLAG(std::string, service, "", "service that receives orders");
ABSL_FLAG(double, order_share, 0.0, "share of orders among all requests");
ABSL_FLAG(double, resend_share, 0.0, "share of orders sent twice at once");
ABSL_FLAG(std::vector<std::string>, customers, {}, "customers, used equally");
ABSL_FLAG(std::string, bearer, "", "credentials of the customer");
ABSL_FLAG(absl::Duration, deadline, absl::Seconds(30),
          "deadline of each request");
ABSL_FLAG(int, attempts, 4, "most attempts for one request");
ABSL_FLAG(int, threads, 1, "sending threads");
ABSL_FLAG(int, max_in_flight, 4000, "most requests in flight per thread");
ABSL_FLAG(uint64_t, seed, 0, "seed of the schedule; 0: a random one, printed");
ABSL_FLAG(std::string, id_prefix, "load", "prefix of request IDs");
ABSL_FLAG(std::string, report, "", "file for the results; empty: stdout");
ABSL_FLAG(std::string, outcomes, "", "file for one JSON line per request");

namespace wasabiwind::load {

namespace {

base::Duration GetDuration(const absl::Flag<absl::Duration> &flag) {
  return absl::ToChronoNanoseconds(absl::GetFlag(flag));
}

base::Result<ScheduleOptions> ReadScheduleOptions() {
  ScheduleOptions options;
  auto arrival = ParseArrivalKind(absl::GetFlag(FLAGS_arrival));
  if (!arrival) return tl::unexpected(arrival.error());
  options.m_arrival = *arrival;
  options.m_rate = absl::GetFlag(FLAGS_rate);
  options.m_duration = GetDuration(FLAGS_duration);
  options.m_burst_size = absl::GetFlag(FLAGS_burst_size);
  options.m_burst_interval = GetDuration(FLAGS_burst_every);
  options.m_swing_peak = absl::GetFlag(FLAGS_swing_peak);
  options.m_models = absl::GetFlag(FLAGS_models);
  options.m_skew = absl::GetFlag(FLAGS_skew);
  options.m_short.m_max_tokens = absl::GetFlag(FLAGS_short_tokens);
  options.m_short.m_max_prompt_bytes = absl::GetFlag(FLAGS_short_prompt);
  options.m_long.m_max_tokens = absl::GetFlag(FLAGS_long_tokens);
  options.m_long.m_max_prompt_bytes = absl::GetFlag(FLAGS_long_prompt);
  options.m_long_share = absl::GetFlag(FLAGS_long_share);
  options.m_stream_share = absl::GetFlag(FLAGS_stream_share);
  options.m_service = absl::GetFlag(FLAGS_service);
  options.m_order_share = absl::GetFlag(FLAGS_order_share);
  options.m_resend_share = absl::GetFlag(FLAGS_resend_share);
  options.m_customers = absl::GetFlag(FLAGS_customers);
  options.m_id_prefix = absl::GetFlag(FLAGS_id_prefix);
  options.m_seed = absl::GetFlag(FLAGS_seed);
  if (options.m_seed == 0) options.m_seed = base::MakeSeed() >> 16;
  bool has_orders = options.m_order_share > 0.0;
  bool has_completions = options.m_order_share < 1.0;
  if (has_orders && options.m_service.empty()) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           "orders have no service", "pass --service=NAME");
  }
  bool needs_models = absl::GetFlag(FLAGS_replay).empty() && has_completions;
  if (needs_models && options.m_models.empty()) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           "completions have no model",
                           "pass --models=NAME,... or --order_share=1");
  }
  return options;
}

base::Result<std::vector<PlannedRequest>> ReadSchedule(
    const ScheduleOptions &options) {
  std::string path = absl::GetFlag(FLAGS_replay);
  if (path.empty()) return MakeSchedule(options);
  std::ifstream file(path);
  if (!file) {
    return base::MakeError(base::ErrorKind::kIo, "can't read " + path,
                           "check the path and its permissions");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseReplay(text.str(), options);
}

base::Result<RunOptions> ReadRunOptions(std::uint64_t seed) {
  RunOptions options;
  for (const std::string &text : absl::GetFlag(FLAGS_entries)) {
    base::Result<net::Endpoint> entry = net::ParseEndpoint(text);
    if (!entry) return tl::unexpected(entry.error());
    options.m_entry_hosts.push_back(*entry);
  }
  if (options.m_entry_hosts.empty()) {
    return base::MakeError(base::ErrorKind::kInvalidArgument, "no entry host",
                           "pass --entries=ip:port,...");
  }
  options.m_direct = absl::GetFlag(FLAGS_direct);
  options.m_threads = absl::GetFlag(FLAGS_threads);
  options.m_max_in_flight = absl::GetFlag(FLAGS_max_in_flight);
  options.m_seed = seed;
  options.m_caller.m_deadline = GetDuration(FLAGS_deadline);
  options.m_caller.m_max_attempts = absl::GetFlag(FLAGS_attempts);
  options.m_caller.m_bearer_token = absl::GetFlag(FLAGS_bearer);
  return options;
}

/** Updates a line of progress on the terminal during the run. */
class ProgressPrinter {
 public:
  ProgressPrinter(const RunProgress *progress, std::size_t planned)
      : m_progress(progress), m_planned(planned) {
    if (isatty(STDERR_FILENO) != 0) m_thread = std::thread([this] { Print(); });
  }
  ~ProgressPrinter() {
    m_stopped = true;
    if (!m_thread.joinable()) return;
    m_thread.join();
    std::fprintf(stderr, "\n");
  }
  ProgressPrinter(const ProgressPrinter &) = delete;
  ProgressPrinter &operator=(const ProgressPrinter &) = delete;

 private:
  void Print() {
    constexpr base::milliseconds kInterval{250};
    while (!m_stopped) {
      std::fprintf(stderr, "\rsent %llu of %zu, ended %llu, complete %llu ",
                   static_cast<unsigned long long>(m_progress->m_sent),
                   m_planned,
                   static_cast<unsigned long long>(m_progress->m_ended),
                   static_cast<unsigned long long>(m_progress->m_complete));
      std::this_thread::sleep_for(kInterval);
    }
  }

  const RunProgress *m_progress;
  std::size_t m_planned;
  std::atomic<bool> m_stopped = false;
  std::thread m_thread;
};

base::Result<void> WriteReport(const LoadResult &result, std::uint64_t seed) {
  boost::json::object report = DescribeResult(result);
  report["seed"] = seed;
  std::string text = boost::json::serialize(report) + "\n";
  std::string path = absl::GetFlag(FLAGS_report);
  if (path.empty()) {
    std::fputs(text.c_str(), stdout);
    return {};
  }
  std::ofstream file(path);
  file << text;
  file.close();
  if (file) return {};
  return base::MakeError(base::ErrorKind::kIo, "can't write " + path,
                         "name a file in a directory that exists");
}

base::Result<void> Run() {
  auto schedule_options = ReadScheduleOptions();
  if (!schedule_options) return tl::unexpected(schedule_options.error());
  auto schedule = ReadSchedule(*schedule_options);
  if (!schedule) return tl::unexpected(schedule.error());
  auto run_options = ReadRunOptions(schedule_options->m_seed);
  if (!run_options) return tl::unexpected(run_options.error());
  std::fprintf(stderr, "seed %llu, %zu requests\n",
               static_cast<unsigned long long>(schedule_options->m_seed),
               schedule->size());
  std::ofstream outcomes;
  std::string path = absl::GetFlag(FLAGS_outcomes);
  if (!path.empty()) outcomes.open(path);
  std::mutex mutex;
  auto on_result = [&](const PlannedRequest &request,
                       const RequestResult &result) {
    if (!outcomes.is_open()) return;
    std::string line =
        boost::json::serialize(DescribeRequest(request, result)) + "\n";
    std::lock_guard<std::mutex> lock(mutex);
    outcomes << line;
  };
  RunProgress progress;
  LoadResult result;
  {
    ProgressPrinter printer(&progress, schedule->size());
    result = RunSchedule(*run_options, *schedule, on_result, &progress);
  }
  return WriteReport(result, schedule_options->m_seed);
}

}  // namespace

int Main(int argc, char **argv) {
  net::ParseFlags(argc, argv,
                  {"ww_load",
                   "sends requests on schedule, checks the responses and "
                   "writes the results as JSON"});
  base::Result<void> result =
      base::InitializeLog("ww_load", "warn", base::LogOutput::kStandardError);
  if (result) result = Run();
  if (result) return 0;
  std::fprintf(stderr, "%s\n", result.error().ToString().c_str());
  return 2;
}

}  // namespace wasabiwind::load

int main(int argc, char **argv) { return wasabiwind::load::Main(argc, argv); }
