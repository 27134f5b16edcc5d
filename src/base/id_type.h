/** @file id_type.h Strong ID types over strings and integers. */

#ifndef WASABIWIND_BASE_ID_TYPE_H_
#define WASABIWIND_BASE_ID_TYPE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <utility>

namespace wasabiwind::base {

/** A name that can't be mixed up with the name of another kind of thing. */
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : m_value(std::move(value)) {}

  /** @return the ID that names nothing. */
  static StrongId Invalid() { return StrongId(); }

  bool IsValid() const { return !m_value.empty(); }
  const std::string &Value() const { return m_value; }

  friend auto operator<=>(const StrongId &, const StrongId &) = default;
  friend bool operator==(const StrongId &, const StrongId &) = default;

  template <typename H>
  friend H AbslHashValue(H h, const StrongId &id) {
    return H::combine(std::move(h), id.m_value);
  }

 private:
  std::string m_value;
};

/** A number that can't be mixed up with the number of another kind of thing. */
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t value) : m_value(value) {}

  /** @return the number that names nothing. */
  static constexpr StrongNumber Invalid() { return StrongNumber(); }

  constexpr bool IsValid() const { return m_value != kInvalidValue; }
  constexpr std::uint64_t Value() const { return m_value; }
  /** @pre IsValid() */
  constexpr StrongNumber Next() const { return StrongNumber(m_value + 1); }

  friend constexpr auto operator<=>(StrongNumber, StrongNumber) = default;
  friend constexpr bool operator==(StrongNumber, StrongNumber) = default;

  template <typename H>
  friend H AbslHashValue(H h, StrongNumber number) {
    return H::combine(std::move(h), number.m_value);
  }

 private:
  static constexpr std::uint64_t kInvalidValue =
      std::numeric_limits<std::uint64_t>::max();
  std::uint64_t m_value = kInvalidValue;
};

/** IDs that more than one module uses. */
using NodeId = StrongId<struct NodeIdTag>;          ///< process of this system
using RegionId = StrongId<struct RegionIdTag>;      ///< region
using DomainId = StrongId<struct DomainIdTag>;      ///< failure domain
using UpstreamId = StrongId<struct UpstreamIdTag>;  ///< runner or service
using ModelId = StrongId<struct ModelIdTag>;        ///< model
using AdapterId = StrongId<struct AdapterIdTag>;    ///< adapter
using DeploymentId = StrongId<struct DeploymentIdTag>;  ///< deployment
using ServiceId = StrongId<struct ServiceIdTag>;        ///< plain service
using CustomerId = StrongId<struct CustomerIdTag>;      ///< customer
using RequestId = StrongId<struct RequestIdTag>;        ///< one request
using TargetId = StrongId<struct TargetIdTag>;          ///< what a runner loads
using Revision = StrongNumber<struct RevisionTag>;  ///< configuration revision
using Incarnation =
    StrongNumber<struct IncarnationTag>;    ///< identifies a start of a process
using Term = StrongNumber<struct TermTag>;  ///< leadership period

}  // namespace wasabiwind::base

template <typename Tag>
struct std::hash<wasabiwind::base::StrongId<Tag>> {
  std::size_t operator()(const wasabiwind::base::StrongId<Tag> &id) const {
    return std::hash<std::string>()(id.Value());
  }
};

template <typename Tag>
struct std::hash<wasabiwind::base::StrongNumber<Tag>> {
  std::size_t operator()(wasabiwind::base::StrongNumber<Tag> number) const {
    return std::hash<std::uint64_t>()(number.Value());
  }
};

#endif  // WASABIWIND_BASE_ID_TYPE_H_
