/** @file report.cpp Benchmark results as JSON and as an HTML page. */

#include "bench/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <fstream>

namespace wasabiwind::bench {

namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 260;
constexpr double kMargin = 48;
constexpr const char *kColors[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad",
                                   "#b7791f"};

std::string EscapeHtml(const std::string &text) {
  std::string escaped;
  for (char c : text) {
    if (c == '<') {
      escaped += "&lt;";
    } else if (c == '&') {
      escaped += "&amp;";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

double FindMaximum(const Plot &plot, std::vector<double> Series::*values) {
  double maximum = 1e-9;
  for (const Series &series : plot.m_series) {
    for (double value : series.*values) maximum = std::max(maximum, value);
  }
  return maximum;
}

std::string DrawSeries(const Series &series, double max_x, double max_y,
                       const char *color) {
  std::string points;
  for (std::size_t i = 0; i < series.m_x.size(); ++i) {
    double x = kMargin + series.m_x[i] / max_x * (kWidth - 2 * kMargin);
    double y =
        kHeight - kMargin - series.m_y[i] / max_y * (kHeight - 2 * kMargin);
    points += fmt::format("{:.1f},{:.1f} ", x, y);
  }
  return fmt::format(
      "<polyline fill='none' stroke='{}' stroke-width='2' points='{}'/>\n",
      color, points);
}

std::string DrawPlot(const Plot &plot) {
  double max_x = FindMaximum(plot, &Series::m_x);
  double max_y = FindMaximum(plot, &Series::m_y);
  std::string svg = fmt::format(
      "<h3>{}</h3>\n<svg viewBox='0 0 {} {}' width='{}' role='img'>\n",
      EscapeHtml(plot.m_title), kWidth, kHeight, kWidth);
  double bottom = kHeight - kMargin;
  svg +=
      fmt::format("<path d='M{0} {0} V{1} H{2}' fill='none' stroke='#555'/>\n",
                  kMargin, bottom, kWidth - kMargin);
  svg += fmt::format(
      "<text x='4' y='{}'>{:.3g}</text><text x='4' y='{}'>0</text>"
      "<text x='{}' y='{}'>{:.3g}</text>\n",
      kMargin, max_y, bottom, kWidth - kMargin, bottom + 16, max_x);
  svg += fmt::format(
      "<text x='{}' y='{}'>{}</text><text x='4' y='16'>{}</text>", kWidth / 2,
      bottom + 32, EscapeHtml(plot.m_x_label), EscapeHtml(plot.m_y_label));
  for (std::size_t i = 0; i < plot.m_series.size(); ++i) {
    const char *color = kColors[i % std::size(kColors)];
    const Series &series = plot.m_series[i];
    svg += DrawSeries(series, max_x, max_y, color);
    svg +=
        fmt::format("<text x='{}' y='{}' fill='{}'>{}</text>\n", kWidth - 200,
                    20 + 16 * i, color, EscapeHtml(series.m_name));
  }
  return svg + "</svg>\n";
}

std::string DrawRow(const Measure &measure) {
  const char *sign =
      measure.m_bound_kind == BoundKind::kAtMost ? "&le;" : "&ge;";
  std::string bound = measure.m_bound_kind == BoundKind::kNone
                          ? "reported only"
                          : fmt::format("{} {:.3g}", sign, measure.m_bound);
  return fmt::format(
      "<tr class='{}'><td>{}</td><td>{}</td><td>{}</td><td>{:.4g}</td>"
      "<td>{:.4g}</td><td>{}</td><td>{:.3f}</td><td>{}</td></tr>\n",
      IsOk(measure) ? "ok" : "failed", EscapeHtml(measure.m_measure),
      EscapeHtml(measure.m_firm), EscapeHtml(measure.m_baseline),
      measure.m_baseline_value, measure.m_value, EscapeHtml(measure.m_unit),
      GetRatio(measure), bound);
}

std::string MakePage(const Report &report) {
  std::string page =
      "<!doctype html>\n<html lang='en'><meta charset='utf-8'>"
      "<title>Benchmarks</title>\n<style>body{font:14px sans-serif;margin:2em}"
      "td,th{padding:2px 10px;text-align:left}.failed{background:#f8d0cb}"
      "svg text{font-size:11px}</style>\n<h1>Benchmarks</h1>\n<table><tr>"
      "<th>measure</th><th>firm</th><th>baseline</th><th>baseline value</th>"
      "<th>value</th><th>unit</th><th>ratio</th><th>bound</th></tr>\n";
  for (const Measure &measure : report.m_measures) page += DrawRow(measure);
  page += "</table>\n";
  for (const Plot &plot : report.m_plots) page += DrawPlot(plot);
  return page + "</html>\n";
}

boost::json::object ToJson(const Measure &measure) {
  boost::json::object row;
  row["measure"] = measure.m_measure;
  row["firm"] = measure.m_firm;
  row["baseline"] = measure.m_baseline;
  row["baseline_value"] = measure.m_baseline_value;
  row["value"] = measure.m_value;
  row["unit"] = measure.m_unit;
  row["ratio"] = GetRatio(measure);
  if (measure.m_bound_kind == BoundKind::kNone) {
    row["bound"] = nullptr;
  } else {
    row["bound"] = measure.m_bound;
  }
  row["ok"] = IsOk(measure);
  return row;
}

bool WriteFile(const std::string &path, const std::string &text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  return static_cast<bool>(file.flush());
}

}  // namespace

double GetRatio(const Measure &measure) {
  return measure.m_value / measure.m_baseline_value;
}

bool IsOk(const Measure &measure) {
  switch (measure.m_bound_kind) {
    case BoundKind::kAtMost:
      return GetRatio(measure) <= measure.m_bound;
    case BoundKind::kAtLeast:
      return GetRatio(measure) >= measure.m_bound;
    default:
      return true;
  }
}

bool WriteReport(const Report &report, const std::string &path) {
  boost::json::array rows;
  for (const Measure &measure : report.m_measures) {
    rows.push_back(ToJson(measure));
  }
  std::filesystem::path page(path);
  page.replace_extension(".html");
  return WriteFile(path, boost::json::serialize(rows) + "\n") &&
         WriteFile(page.string(), MakePage(report));
}

}  // namespace wasabiwind::bench
