/** @file base_settings_test.cpp Settings parsing and its error messages. */

#include <common_settings.pb.h>
#include <config.pb.h>
#include <gtest/gtest.h>

#include "base/random_func.h"
#include "base/settings_func.h"

namespace wasabiwind::base {
namespace {

/** Parses into the settings that all server programs share. */
class SettingsTest : public testing::Test {
 protected:
  Result<void> Parse(const std::string &text) {
    return ParseSettings(text, "test.ini", &m_settings);
  }
  gen::CommonSettings m_settings;
};

TEST_F(SettingsTest, FillsValuesAndDefaults) {
  ASSERT_TRUE(Parse("[node]\nname = entry-1\n"));
  EXPECT_EQ(m_settings.node().name(), "entry-1");
  EXPECT_EQ(m_settings.node().region(), "local");
  EXPECT_EQ(m_settings.log().level(), "info");
}

/** Guards against an error that doesn't say where the mistake is. */
TEST_F(SettingsTest, ErrorOfUnknownKeyHasFileLineKeyAndRemedy) {
  Result<void> result = Parse("[node]\nname = a\nregoin = x\n");
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_kind, ErrorKind::kInvalidSettings);
  EXPECT_NE(result.error().m_message.find("test.ini:3: regoin"),
            std::string::npos)
      << result.error().m_message;
  EXPECT_NE(result.error().m_remedy.find("region"), std::string::npos);
}

TEST_F(SettingsTest, RefusesUnknownSection) {
  Result<void> result = Parse("[nodes]\nname = a\n");
  ASSERT_FALSE(result);
  EXPECT_NE(result.error().m_message.find("test.ini:1: [nodes]"),
            std::string::npos)
      << result.error().m_message;
}

TEST_F(SettingsTest, RefusesMissingRequiredKey) {
  Result<void> result = Parse("[log]\nlevel = warn\n");
  ASSERT_FALSE(result);
  EXPECT_NE(result.error().m_message.find("name"), std::string::npos);
}

/** Guards against losing an entity all of whose keys have defaults. */
TEST_F(SettingsTest, KeepsLabelledSectionWithoutKeys) {
  gen::Declarations declarations;
  ASSERT_TRUE(ParseSettings("[customer a]\n[customer b]\nweight = 2\n",
                            "test.ini", &declarations));
  ASSERT_EQ(declarations.customer_size(), 2);
  EXPECT_EQ(declarations.customer(0).name(), "a");
  EXPECT_EQ(declarations.customer(0).weight(), 1.0);
}

/** Guards against merging sections whose long names start alike. */
TEST_F(SettingsTest, RefusesSectionNameThatInihTruncates) {
  gen::Declarations declarations;
  Result<void> result =
      ParseSettings("[customer " + std::string(60, 'a') + "]\nweight = 2\n",
                    "test.ini", &declarations);
  ASSERT_FALSE(result);
  EXPECT_NE(result.error().m_message.find("too long"), std::string::npos);
}

/** Guards against printing a list as a line that inih can't read. */
TEST_F(SettingsTest, PrintsAndParsesLongList) {
  gen::Declarations declarations;
  gen::RecorderGroup *group = declarations.add_recorder_group();
  group->set_name("Rajkot-a");
  group->set_epoch(1);
  for (int i = 0; i < 100; ++i) {
    group->add_members("127.0.0.1:" + std::to_string(1000 + i));
  }
  gen::Declarations reparsed;
  Result<void> parsed =
      ParseSettings(PrintSettings(declarations), "test.ini", &reparsed);
  ASSERT_TRUE(parsed) << parsed.error().ToString();
  EXPECT_EQ(reparsed.SerializeAsString(), declarations.SerializeAsString());
}

TEST_F(SettingsTest, RefusesKeyGivenTwice) {
  EXPECT_FALSE(Parse("[node]\nname = a\nname = b\n"));
}

TEST_F(SettingsTest, RefusesLineThatIsNoKey) {
  Result<void> result = Parse("[node]\nname = a\njust words\n");
  ASSERT_FALSE(result);
  EXPECT_NE(result.error().m_message.find("test.ini:3"), std::string::npos);
}

TEST_F(SettingsTest, PrintedSettingsParseToTheSameMessage) {
  ASSERT_TRUE(Parse("[node]\nname = a\nregion = Rajkot-a\n"));
  std::string printed = PrintSettings(m_settings);
  gen::CommonSettings reparsed;
  ASSERT_TRUE(ParseSettings(printed, "again.ini", &reparsed));
  EXPECT_EQ(reparsed.SerializeAsString(), m_settings.SerializeAsString());
}

/** Guards against crashes on arbitrary bytes in a settings file. */
TEST_F(SettingsTest, SurvivesRandomText) {
  Random random{20261204};
  const std::string alphabet = "[]=;#\n\r\t name=regiol1\"\\\0\xff";
  for (int round = 0; round < 2000; ++round) {
    std::string text;
    std::size_t length = NextRandomBelow(&random, 300);
    for (std::size_t i = 0; i < length; ++i) {
      text += alphabet[NextRandomBelow(&random, alphabet.size())];
    }
    Result<void> result = Parse(text);
    if (!result) {
      EXPECT_FALSE(result.error().m_message.empty());
    }
  }
}

}  // namespace
}  // namespace wasabiwind::base
