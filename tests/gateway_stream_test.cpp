/** @file gateway_stream_test.cpp Cutting streams into whole events. */

#include <gtest/gtest.h>

#include "gateway/event_stream_func.h"

namespace wasabiwind::gateway {
namespace {

TEST(EventCutterTest, FindsEventsWhateverThePiecesAre) {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    EventCutter cutter;
    std::vector<StreamEvent> events;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      ASSERT_TRUE(CutEvents(&cutter, stream.substr(at, size), &events));
    }
    ASSERT_EQ(events.size(), 2u);
    EXPECT_EQ(events[0].m_id, 1u);
    EXPECT_EQ(events[1].m_id, 2u);
    EXPECT_EQ(events[0].m_text + events[1].m_text, stream);
    EXPECT_TRUE(IsBetweenEvents(cutter));
  }
}

// A stream that breaks off inside an event must not look complete.
TEST(EventCutterTest, PartOfAnEventIsNotTheEnd) {
  EventCutter cutter;
  std::vector<StreamEvent> events;
  ASSERT_TRUE(CutEvents(&cutter, "id: 1\ndata: a\n\nid: 2\nda", &events));
  EXPECT_EQ(events.size(), 1u);
  EXPECT_FALSE(IsBetweenEvents(cutter));
}

TEST(EventCutterTest, AcceptsCarriageReturnsAndEventsWithoutId) {
  EventCutter cutter;
  std::vector<StreamEvent> events;
  ASSERT_TRUE(CutEvents(&cutter, "data: a\r\n\r\nid:7\r\n\r\n", &events));
  ASSERT_EQ(events.size(), 2u);
  EXPECT_FALSE(events[0].m_id);
  EXPECT_EQ(events[1].m_id, 7u);
}

TEST(EventCutterTest, RefusesAnEventWithoutEnd) {
  EventCutter cutter;
  std::vector<StreamEvent> events;
  EXPECT_FALSE(
      CutEvents(&cutter, std::string(kMaxEventBytes + 1, 'x'), &events));
}

}  // namespace
}  // namespace wasabiwind::gateway
