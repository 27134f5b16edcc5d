/** @file error_type.h Typed errors and the result type of fallible functions.
 */

#ifndef WASABIWIND_BASE_ERROR_TYPE_H_
#define WASABIWIND_BASE_ERROR_TYPE_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace wasabiwind::base {

/** Kinds of errors that callers may have to tell apart. */
enum class ErrorKind : std::uint8_t {
  kInvalidArgument,  ///< the caller passed a value that can't be accepted
  kInvalidSettings,  ///< a settings file is wrong
  kNotFound,         ///< the named thing doesn't exist
  kConflict,         ///< another change came first
  kUnavailable,      ///< a peer can't be reached or isn't ready
  kTimeout,          ///< the deadline passed
  kCorrupt,          ///< stored or received data fails its check
  kIo,               ///< a file or socket operation failed
  kOverloaded,       ///< a limit was reached
  kProtocol,         ///< a peer broke its protocol
  kPermission,       ///< credentials are missing or wrong
  kInternal,         ///< an invariant of this program is broken
  kEnd,
};

/** @return the snake_case name of the kind, as used in logs and metrics. */
const char *GetErrorKindName(ErrorKind kind);

/** An error with a message for people and the remedy they can try. */
struct Error {
  ErrorKind m_kind = ErrorKind::kInternal;
  std::string m_message;  ///< what happened, with the values concerned
  std::string m_remedy;   ///< what the reader can do; may be empty

  /** @return "message; remedy" on one line. Thread-safe on a const object. */
  std::string ToString() const;
};

/** @return the error as a JSON object for an HTTP response. Thread-safe. */
std::string FormatErrorJson(const Error &error);

template <typename T>
using Result = tl::expected<T, Error>;

/** Builds the error side of a Result. */
inline tl::unexpected<Error> MakeError(ErrorKind kind, std::string message,
                                       std::string remedy = "") {
  return tl::unexpected<Error>(
      Error{kind, std::move(message), std::move(remedy)});
}

}  // namespace wasabiwind::base

#endif  // WASABIWIND_BASE_ERROR_TYPE_H_
