/** @file record_base.h Event record of a test double, for checks. */

#ifndef WASABIWIND_STANDIN_RECORD_BASE_H_
#define WASABIWIND_STANDIN_RECORD_BASE_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <string>

#include "base/error_type.h"

namespace wasabiwind::standin {

/** @return wall-clock time in microseconds since 1970. Thread-safe. */
std::int64_t GetWallMicroseconds();

/**
 * Keeps the latest events in memory and appends each one to a file before Add
 * returns, so that the file is complete up to a crash. Not thread-safe.
 */
class EventRecord {
 public:
  static constexpr std::size_t kMaxEvents = 50'000;  ///< kept in memory

  EventRecord() = default;
  ~EventRecord();
  EventRecord(const EventRecord &) = delete;
  EventRecord &operator=(const EventRecord &) = delete;

  /** Appends later events to a file. @return kIo if it can't be opened */
  base::Result<void> OpenFile(const std::string &path);

  /** Adds an event with the fields "t_us" (wall clock), "event" and these. */
  void Add(const std::string &event, const boost::json::object &fields);

  /** @return the events in memory, oldest first. */
  boost::json::array List() const;

 private:
  std::deque<boost::json::object> m_events;
  int m_file = -1;
};

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_RECORD_BASE_H_
