/** @file check_func.h Checks of invariants over event records and reports. */

#ifndef WASABIWIND_SCENARIO_CHECK_FUNC_H_
#define WASABIWIND_SCENARIO_CHECK_FUNC_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/error_type.h"
#include "scenario/scenario_type.h"

namespace wasabiwind::scenario {

/** Event record of one test double, with all its incarnations. */
struct PartRecord {
  std::string m_name;
  std::vector<boost::json::object> m_events;  ///< oldest first
};

/** Event that the runner appends to a record when the process has ended. */
inline constexpr const char *kEndedEvent = "ended";

/**
 * Parses JSON lines. An incomplete last line is ignored, since a crash can
 * leave one. @return kCorrupt for any other malformed line
 */
base::Result<std::vector<boost::json::object>> ParseJsonLines(
    const std::string &text);

/*
 * The checks return kConflict with a description of the violation. All are
 * thread-safe.
 */

/**
 * Checks that each request of a run was answered completely, refused with a
 * reason, or ended with an explicit error.
 * @param report report of ww_load
 * @param allow_loss also accept closed connections, for killed entry hosts
 */
base::Result<void> CheckAnswers(const boost::json::object &report,
                                bool allow_loss);

/**
 * Checks that each order key was executed at most once, exactly once if it
 * was answered completely, and never if it was only refused as not_run.
 * @param outcomes lines of the outcomes file of ww_load
 */
base::Result<void> CheckOrders(const std::vector<boost::json::object> &outcomes,
                               const std::vector<PartRecord> &services);

/** Checks that no engine ever held more bytes than its memory, including loads
 * in progress. */
base::Result<void> CheckMemory(const std::vector<PartRecord> &engines);

/** Checks the relation for the largest number of engines that held the target
 * at the same time. */
base::Result<void> CheckReplicas(const std::vector<PartRecord> &engines,
                                 const std::string &target, CompareOperator op,
                                 int count);

/** Checks that no request or load began after a time, but that some began
 * before. @param after_us wall clock */
base::Result<void> CheckNoWork(const PartRecord &part, std::int64_t after_us);

/**
 * Sums the values of all series with a name and labels in the Prometheus text
 * format.
 * @param series name or name{label=value,...}; quotation marks are optional
 * @return 0 if no series matches
 */
double SumMetric(const std::string &text, const std::string &series);

/**
 * Finds a field by a path such as "a.b.0.c" in a JSON value.
 * @return nullptr if it doesn't exist
 */
const boost::json::value *FindField(const boost::json::value &value,
                                    const std::string &path);

}  // namespace wasabiwind::scenario

#endif  // WASABIWIND_SCENARIO_CHECK_FUNC_H_
