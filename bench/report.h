/** @file report.h Benchmark results as JSON and as an HTML page. */

#ifndef WASABIWIND_BENCH_REPORT_H_
#define WASABIWIND_BENCH_REPORT_H_

#include <string>
#include <vector>

namespace wasabiwind::bench {

/** How a ratio is compared with its bound. */
enum class BoundKind : std::uint8_t {
  kAtMost,
  kAtLeast,
  kNone,  ///< reported only
};

/** A measured value and its baseline. */
struct Measure {
  std::string m_measure;
  std::string m_firm;
  std::string m_baseline;
  double m_baseline_value = 0;
  double m_value = 0;
  std::string m_unit;
  double m_bound = 0;  ///< of value / baseline value
  BoundKind m_bound_kind = BoundKind::kAtMost;
};

/** A line of a plot. */
struct Series {
  std::string m_name;
  std::vector<double> m_x;
  std::vector<double> m_y;
};

struct Plot {
  std::string m_title;
  std::string m_x_label;
  std::string m_y_label;
  std::vector<Series> m_series;
};

struct Report {
  std::vector<Measure> m_measures;
  std::vector<Plot> m_plots;
};

double GetRatio(const Measure &measure);
bool IsOk(const Measure &measure);

/** Writes the JSON file, and an HTML page with the same base name.
 * @return whether both files were written */
bool WriteReport(const Report &report, const std::string &path);

}  // namespace wasabiwind::bench

#endif  // WASABIWIND_BENCH_REPORT_H_
