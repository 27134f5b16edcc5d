/** @file queue_func.h Fair queue of waiting requests, by class and customer. */

#ifndef WASABIWIND_ROUTE_QUEUE_FUNC_H_
#define WASABIWIND_ROUTE_QUEUE_FUNC_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <optional>
#include <set>
#include <utility>

#include "base/id_type.h"
#include "base/time_type.h"
#include "route/request_type.h"

namespace wasabiwind::route {

/** One waiting request. */
struct QueuedRequest {
  RequestNumber m_request;
  base::CustomerId m_customer;
  double m_customer_weight = 1;
  PriorityClass m_class = PriorityClass::kStandard;
  RequestLength m_length = RequestLength::kShort;
  double m_cost = 0;  ///< in output tokens
  base::TimePoint m_deadline;
  base::TimePoint m_queued_at;
};

/** Requests of one customer, ordered by deadline. */
using DeadlineSet = std::set<std::pair<base::TimePoint, RequestNumber>>;

/** Waiting requests of one customer in one lane. */
struct CustomerQueue {
  double m_pass = 0;  ///< virtual time: cost served over weight
  DeadlineSet m_queued;
};

/** Lane: waiting requests of one class and length. */
struct RequestLane {
  double m_pass = 0;           ///< virtual time: cost served over weight
  double m_customer_pass = 0;  ///< virtual time of the last customer served
  double m_cost = 0;           ///< sum of waiting costs
  absl::flat_hash_map<base::CustomerId, CustomerQueue> m_customers;
};

/**
 * Weighted fair queue (stride scheduling) with three levels: lanes (class and
 * length) share by weight, customers of a lane share by weight, and one
 * customer's requests are in deadline order. Sharing is by cost, so a few long
 * requests count as much as many short ones. Each lane and customer with
 * waiting requests makes progress, because its virtual time doesn't advance
 * while others are served. Not thread-safe.
 */
struct RequestQueue {
  std::array<std::array<RequestLane, kRequestLengthCount>, kPriorityClassCount>
      m_lanes;
  absl::flat_hash_map<RequestNumber, QueuedRequest> m_queued;
  DeadlineSet m_deadlines;
  double m_lane_pass = 0;  ///< virtual time at which the last lane was served
};

/** Adds a request. @pre its number isn't in the queue */
void PushRequest(RequestQueue *queue, const QueuedRequest &queued);

/** Removes a request. @return nullopt if it isn't in the queue */
std::optional<QueuedRequest> RemoveRequest(RequestQueue *queue,
                                           RequestNumber request);

/** @return whether requests of this kind may be deferred in favor of short ones
 * whose callers wait for them: long requests, and all requests of the batch
 * class */
inline bool IsDeferrable(PriorityClass priority_class, RequestLength length) {
  return length == RequestLength::kLong ||
         priority_class == PriorityClass::kBatch;
}

/**
 * @param allow_deferrable whether a deferrable request may be chosen
 * @return the request that is served next, which stays in the queue
 */
const QueuedRequest *PeekRequest(const RequestQueue &queue,
                                 bool allow_deferrable);

/** Removes a request that starts and charges its cost to its lane and
 * customer. @pre it is in the queue */
QueuedRequest TakeRequest(RequestQueue *queue, RequestNumber request);

/**
 * Chooses a waiting request to evict from a full queue for a new one: of a
 * lower class, else of a customer of the same class that has at least two more
 * requests waiting in one lane than the new request's customer has in all
 * lanes of the class.
 * @return nullopt if no waiting request may be evicted for the new one
 */
std::optional<RequestNumber> FindEvictable(const RequestQueue &queue,
                                           const QueuedRequest &arrival);

/**
 * @return the cost that is served before a new request of this class and
 *         length gets its turn, if all lanes keep their shares
 */
double ComputeCostAhead(const RequestQueue &queue, PriorityClass priority_class,
                        RequestLength length);

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_QUEUE_FUNC_H_
