/** @file gateway_stream_test.cpp Splitting byte streams into events. */

#include <gtest/gtest.h>

#include "gateway/event_stream_func.h"
#include "processor_time.h"

namespace wasabiwind::gateway {
namespace {

TEST(EventSplitterTest, FindsEventsInPiecesOfAnySize) {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      ASSERT_TRUE(SplitEvents(&splitter, stream.substr(at, size), &events));
    }
    ASSERT_EQ(events.size(), 2u);
    EXPECT_EQ(events[0].m_id, 1u);
    EXPECT_EQ(events[1].m_id, 2u);
    EXPECT_EQ(events[0].m_text + events[1].m_text, stream);
    EXPECT_TRUE(IsAtEventBoundary(splitter));
  }
}

// A stream that breaks off inside an event must not look complete.
TEST(EventSplitterTest, StreamCannotEndInsideAnEvent) {
  EventSplitter splitter;
  std::vector<StreamEvent> events;
  ASSERT_TRUE(SplitEvents(&splitter, "id: 1\ndata: a\n\nid: 2\nda", &events));
  EXPECT_EQ(events.size(), 1u);
  EXPECT_FALSE(IsAtEventBoundary(splitter));
}

TEST(EventSplitterTest, AcceptsCarriageReturnsAndEventsWithoutId) {
  EventSplitter splitter;
  std::vector<StreamEvent> events;
  ASSERT_TRUE(SplitEvents(&splitter, "data: a\r\n\r\nid:7\r\n\r\n", &events));
  ASSERT_EQ(events.size(), 2u);
  EXPECT_FALSE(events[0].m_id);
  EXPECT_EQ(events[1].m_id, 7u);
}

// Each piece of an unfinished event was searched again from its start, so that
// a runner that sends one without end took the processor time of all requests.
TEST(EventSplitterTest, WorkForALongEventGrowsWithItsSize) {
  auto measure = [](std::size_t size) {
    return tests::MeasureMinimum([size] {
      const std::string piece(8 * 1024, 'x');
      EventSplitter splitter;
      std::vector<StreamEvent> events;
      tests::ProcessorTime start = tests::GetThreadProcessorTime();
      for (std::size_t sent = 0; sent < size; sent += piece.size()) {
        EXPECT_TRUE(SplitEvents(&splitter, piece, &events));
      }
      return (tests::GetThreadProcessorTime() - start).count();
    });
  };
  // Eight times the bytes; work that grows with the square takes 64 times.
  EXPECT_LT(measure(kMaxEventBytes - 8 * 1024), 24 * measure(128 * 1024));
}

TEST(EventSplitterTest, FindsAnEndThatIsCutAnywhere) {
  for (const char *end : {"\n\n", "\r\n\r\n", "\n\r\n", "\r\n\n"}) {
    std::string text = std::string("id: 7\ndata: x") + end;
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
      EventSplitter splitter;
      std::vector<StreamEvent> events;
      SplitEvents(&splitter, text.substr(0, cut), &events);
      SplitEvents(&splitter, text.substr(cut) + "id: 8\n", &events);
      ASSERT_EQ(events.size(), 1u) << cut;
      EXPECT_EQ(events[0].m_text, text);
      EXPECT_FALSE(IsAtEventBoundary(splitter));
    }
  }
}

TEST(EventSplitterTest, RejectsAnEventThatIsTooLong) {
  EventSplitter splitter;
  std::vector<StreamEvent> events;
  EXPECT_FALSE(
      SplitEvents(&splitter, std::string(kMaxEventBytes + 1, 'x'), &events));
}

}  // namespace
}  // namespace wasabiwind::gateway
