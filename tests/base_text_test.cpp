/** @file base_text_test.cpp Comma-separated lists. */

#include <gtest/gtest.h>

#include "base/text_func.h"

namespace wasabiwind::base {
namespace {

TEST(TextTest, SplitListOmitsSpacesAndEmptyItems) {
  EXPECT_EQ(SplitList(" a, b ,,c\t, "),
            (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_TRUE(SplitList("").empty());
}

}  // namespace
}  // namespace wasabiwind::base
