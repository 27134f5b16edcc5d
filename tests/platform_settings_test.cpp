/** @file platform_settings_test.cpp Settings that the platform fills in. */

#include <fleet_settings.pb.h>
#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <map>
#include <sstream>

#include "base/settings_func.h"

namespace wasabiwind::platform {
namespace {

using Values = std::map<std::string, std::string>;

std::string ReadTemplate(const std::string &name) {
  std::ifstream file(std::string(WASABIWIND_SOURCE_DIR) + "/deploy/" + name);
  EXPECT_TRUE(file) << name;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** @return a template with each section {{#NAME}}...{{/NAME}} replaced by its
 * content, or removed if there is no such value. */
std::string FillSections(std::string text, const Values &values) {
  for (std::size_t start = text.find("{{#"); start != std::string::npos;
       start = text.find("{{#", start)) {
    std::size_t content = text.find("}}", start) + 2;
    std::string name = text.substr(start + 3, content - start - 5);
    std::string end_mark = "{{/" + name + "}}";
    std::size_t end = text.find(end_mark, content);
    EXPECT_NE(end, std::string::npos) << name;
    text.erase(end, end_mark.size());
    text.erase(start, (values.contains(name) ? content : end) - start);
  }
  return text;
}

/** @return a template with the placeholders {{NAME}} replaced, and the lists of
 * failure domains removed. */
std::string FillTemplate(std::string text, const Values &values) {
  std::size_t domains = text.find("domains = ");
  text.erase(domains, text.find('\n', domains) - domains);
  text = FillSections(std::move(text), values);
  for (std::size_t start = text.find("{{"); start != std::string::npos;
       start = text.find("{{", start)) {
    std::size_t end = text.find("}}", start);
    std::string name = text.substr(start + 2, end - start - 2);
    EXPECT_TRUE(values.contains(name)) << name;
    text.replace(start, end + 2 - start, values.at(name));
  }
  return text;
}

/** Bounds of one deployment, as the platform writes them. */
struct DeploymentBounds {
  const char *m_name;
  double m_retry_slack;
  double m_lease_ms;
  double m_grace_s;
  double m_window_s;
  double m_heartbeat_ms;
};

constexpr std::array<DeploymentBounds, 7> kDeployments = {{
    {"small, six entry hosts", 52, 3'000, 8, 5, 1'200},
    {"small, nine entry hosts", 58, 3'000, 8, 5, 1'200},
    {"small, seven entry hosts", 54, 3'000, 8, 5, 1'200},
    {"grown, 67 entry hosts", 174, 3'000, 8, 5, 1'200},
    {"grown, 77 entry hosts", 194, 3'000, 8, 5, 1'200},
    {"grown, 85 entry hosts", 210, 3'000, 8, 5, 1'200},
    {"large, 291 entry hosts", 622, 3'000, 8, 5, 1'200},
}};

std::string FormatNumber(double value) {
  std::ostringstream text;
  text.precision(17);
  text << value;
  return text.str();
}

Values MakeValues(const DeploymentBounds &bounds, double factor) {
  return {{"node", "n1"},
          {"region", "r"},
          {"zone", "z"},
          {"ip", "10.0.0.1"},
          {"portRange.0", "7000"},
          {"portRange.1", "7015"},
          {"seeds", "10.0.0.2:80"},
          {"dataDir", "/data"},
          {"bootstrap", "true"},
          {"tolerate.machines", "2"},
          {"listen.front", "10.0.0.1:1"},
          {"listen.ready", "10.0.0.1:2"},
          {"listen.directory", "10.0.0.1:3"},
          {"listen.control", "10.0.0.1:4"},
          {"heartbeatMs", FormatNumber(bounds.m_heartbeat_ms * factor)},
          {"bounds.graceS", FormatNumber(bounds.m_grace_s * factor)},
          {"bounds.leaseMs", FormatNumber(bounds.m_lease_ms * factor)},
          {"bounds.ceilingWindowS", FormatNumber(bounds.m_window_s * factor)},
          {"bounds.retryRatio", "0.2"},
          {"bounds.retryWindowS", FormatNumber(10 * factor)},
          {"bounds.retrySlack", FormatNumber(bounds.m_retry_slack * factor)},
          {"bounds.ttl_max_s", FormatNumber(5 * factor)}};
}

// Entry hosts of a shrunk deployment ended at their start: their share of the
// retries came as 32.73684210526316, which was refused as no whole number.
TEST(PlatformSettingsTest, BoundsMayBeFractions) {
  for (const DeploymentBounds &bounds : kDeployments) {
    for (double factor : {1.0, 10.0 / 19, 1.0 / 3, 0.1234567, 2.5}) {
      Values values = MakeValues(bounds, factor);
      gen::FleetEntrySettings entry;
      auto read = base::ParseSettings(
          FillTemplate(ReadTemplate("entry.ini"), values), "entry.ini", &entry);
      EXPECT_TRUE(read) << bounds.m_name << " x " << factor << ": "
                        << read.error().ToString();
      EXPECT_DOUBLE_EQ(entry.bounds().retry_slack(),
                       bounds.m_retry_slack * factor);
      gen::FleetControlSettings control;
      read =
          base::ParseSettings(FillTemplate(ReadTemplate("control.ini"), values),
                              "control.ini", &control);
      EXPECT_TRUE(read) << bounds.m_name << " x " << factor << ": "
                        << read.error().ToString();
      EXPECT_NEAR(static_cast<double>(control.bounds().order_lease_ms()),
                  bounds.m_lease_ms * factor, 0.5);
    }
  }
}

// Bounds of teams are given by some deployments only. Those without them get
// the defaults, and a fraction must not stop the program.
TEST(PlatformSettingsTest, BoundsOfTeamsAreOptionalAndMayBeFractions) {
  for (double factor : {0.0, 1.0, 10.0 / 19, 0.1234567, 2.5}) {
    Values values = MakeValues(kDeployments[0], 1);
    bool has_teams = factor != 0;
    if (has_teams) {
      values["bounds.strictRevoke"] = "true";
      values["bounds.revokeMs"] = FormatNumber(5'000 * factor);
      values["bounds.quotaWindowS"] = FormatNumber(8 * factor);
      values["bounds.quotaExcess"] = "0.1";
      values["bounds.quotaSlack"] = FormatNumber(110'000 * factor);
    }
    gen::FleetEntrySettings entry;
    auto read = base::ParseSettings(
        FillTemplate(ReadTemplate("entry.ini"), values), "entry.ini", &entry);
    EXPECT_TRUE(read) << factor << ": " << read.error().ToString();
    EXPECT_EQ(entry.bounds().strict_revocation(), has_teams ? "true" : "false");
    EXPECT_NEAR(static_cast<double>(entry.bounds().revocation_ms()),
                has_teams ? 5'000 * factor : 5'000, 0.5);
    gen::FleetControlSettings control;
    read =
        base::ParseSettings(FillTemplate(ReadTemplate("control.ini"), values),
                            "control.ini", &control);
    EXPECT_TRUE(read) << factor << ": " << read.error().ToString();
    EXPECT_NEAR(static_cast<double>(control.bounds().quota_window_ms()),
                has_teams ? 8'000 * factor : 8'000, 0.5);
    EXPECT_DOUBLE_EQ(control.bounds().quota_slack(),
                     has_teams ? 110'000 * factor : 10);
  }
}

// Programs didn't start from templates whose optional sections were left in by
// a renderer that doesn't know them.
TEST(PlatformSettingsTest, SectionsThatWereNotFilledGiveDefaults) {
  gen::FleetEntrySettings entry;
  auto read = base::ParseSettings(
      "[node]\nname = n\nregion = r\ndomain = d\n[admin]\nlisten = 1.1.1.1:1\n"
      "[network]\nmessage_address = 1.1.1.1:2\nmessage_port = 2\n[bounds]\n"
      "{{#bounds.strictRevoke}}strict_revocation = true\n"
      "{{/bounds.strictRevoke}}{{#bounds.revokeMs}}revocation_ms = 1ms\n"
      "{{/bounds.revokeMs}}\n[callers]\nlisten = 1.1.1.1:3\n",
      "entry.ini", &entry);
  ASSERT_TRUE(read) << read.error().ToString();
  EXPECT_EQ(entry.bounds().strict_revocation(), "false");
  EXPECT_EQ(entry.bounds().revocation_ms(), 5'000);
}

// A bound that can't be meant must stop the program with an error that says
// where it stands, not be used or replaced without a word.
TEST(PlatformSettingsTest, RefusesBoundsThatCannotBeMeant) {
  for (const char *value :
       {"-1", "nan", "inf", "1e300", "", "true", "0x10", "12x", "1,5", "--1"}) {
    for (const char *name : {"bounds.retrySlack", "bounds.graceS",
                             "bounds.retryRatio", "heartbeatMs"}) {
      Values values = MakeValues(kDeployments[0], 1);
      values[name] = value;
      gen::FleetEntrySettings settings;
      auto read =
          base::ParseSettings(FillTemplate(ReadTemplate("entry.ini"), values),
                              "entry.ini", &settings);
      ASSERT_FALSE(read) << name << " = " << value;
      EXPECT_NE(read.error().m_message.find("entry.ini:"), std::string::npos);
      EXPECT_FALSE(read.error().m_remedy.empty()) << name << " = " << value;
    }
  }
}

}  // namespace
}  // namespace wasabiwind::platform
