/** @file queue_func.h Bounded queue shared by classes and customers. */

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
struct QueuedWork {
  RequestNumber m_request;
  base::CustomerId m_customer;
  double m_customer_weight = 1;
  PriorityClass m_class = PriorityClass::kStandard;
  WorkLength m_length = WorkLength::kShort;
  double m_cost = 0;  ///< in output tokens
  base::TimePoint m_deadline;
  base::TimePoint m_queued_at;
};

/** Order within one customer's lane: the most urgent first. */
using DeadlineSet = std::set<std::pair<base::TimePoint, RequestNumber>>;

/** Waiting work of one customer in one lane. */
struct CustomerLane {
  double m_pass = 0;  ///< virtual time, cost served divided by weight
  DeadlineSet m_work;
};

/** Waiting work of one class and length. */
struct WorkLane {
  double m_pass = 0;           ///< virtual time, cost served over weight
  double m_customer_pass = 0;  ///< virtual time of the last customer served
  double m_cost = 0;           ///< sum of waiting costs
  absl::flat_hash_map<base::CustomerId, CustomerLane> m_customers;
};

/**
 * Queue in three levels: lanes (class and length) share by weight, customers
 * of a lane share by weight, and one customer's work is in deadline order.
 * Sharing is by cost, so a few long requests count as much as many short ones.
 * Each lane and customer with waiting work makes progress, because its virtual
 * time stands still while others are served. Not thread-safe.
 */
struct WorkQueue {
  std::array<std::array<WorkLane, kWorkLengthCount>, kWorkClassCount> m_lanes;
  absl::flat_hash_map<RequestNumber, QueuedWork> m_work;
  DeadlineSet m_deadlines;
  double m_lane_pass = 0;  ///< virtual time of the last lane served
};

/** Adds a request. @pre its number isn't in the queue */
void PushWork(WorkQueue *queue, const QueuedWork &work);

/** Removes a request. @return nullopt if it isn't in the queue */
std::optional<QueuedWork> RemoveWork(WorkQueue *queue, RequestNumber request);

/** @return whether work of this kind gives way to short work of callers that
 *          wait for it: long work, and all work of the batch class */
inline bool IsYielding(PriorityClass work_class, WorkLength length) {
  return length == WorkLength::kLong || work_class == PriorityClass::kBatch;
}

/**
 * @param allow_yielding whether work that gives way may be chosen
 * @return the request that is served next, which stays in the queue
 */
const QueuedWork *PeekWork(const WorkQueue &queue, bool allow_yielding);

/** Removes a request that starts and charges its cost to its lane and
 * customer. @pre it is in the queue */
QueuedWork TakeWork(WorkQueue *queue, RequestNumber request);

/**
 * Chooses a waiting request that gives its place in a full queue to a new one:
 * of a lower class, else of a customer of the same class that has clearly more
 * waiting than the new request's customer.
 * @return nullopt if the new request has no better claim than those waiting
 */
std::optional<RequestNumber> FindEvictable(const WorkQueue &queue,
                                           const QueuedWork &arrival);

/**
 * @return the cost that is served before a new request of this class and
 *         length gets its turn, if all lanes keep their shares
 */
double ComputeCostAhead(const WorkQueue &queue, PriorityClass work_class,
                        WorkLength length);

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_QUEUE_FUNC_H_
