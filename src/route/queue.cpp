/** @file queue.cpp Bounded queue shared by classes and customers. */

#include <algorithm>
#include <cassert>

#include "route/queue_func.h"

namespace wasabiwind::route {

namespace {

/** Share of each lane, by class and length. Short work comes first within its
 * class, because it frees its slot soon. */
constexpr double kLaneWeights[kWorkClassCount][kWorkLengthCount] = {
    {16, 8},
    {8, 4},
    {1, 1},
};

double GetLaneWeight(std::size_t work_class, std::size_t length) {
  return kLaneWeights[work_class][length];
}

WorkLane &FindLane(WorkQueue *queue, const QueuedWork &work) {
  return queue->m_lanes[static_cast<std::size_t>(work.m_class)]
                       [static_cast<std::size_t>(work.m_length)];
}

void EraseWork(WorkQueue *queue, const QueuedWork &work) {
  WorkLane &lane = FindLane(queue, work);
  auto customer = lane.m_customers.find(work.m_customer);
  assert(customer != lane.m_customers.end());
  customer->second.m_work.erase({work.m_deadline, work.m_request});
  if (customer->second.m_work.empty()) lane.m_customers.erase(customer);
  lane.m_cost = lane.m_customers.empty() ? 0 : lane.m_cost - work.m_cost;
  queue->m_deadlines.erase({work.m_deadline, work.m_request});
}

const CustomerLane *FindNextCustomer(const WorkLane &lane) {
  const CustomerLane *next = nullptr;
  for (const auto &[customer, candidate] : lane.m_customers) {
    bool is_earlier = next == nullptr || candidate.m_pass < next->m_pass ||
                      (candidate.m_pass == next->m_pass &&
                       *candidate.m_work.begin() < *next->m_work.begin());
    if (is_earlier) next = &candidate;
  }
  return next;
}

}  // namespace

void PushWork(WorkQueue *queue, const QueuedWork &work) {
  bool inserted = queue->m_work.emplace(work.m_request, work).second;
  assert(inserted);
  (void)inserted;
  WorkLane &lane = FindLane(queue, work);
  // A lane or customer that was idle gets no credit for that time.
  if (lane.m_customers.empty()) {
    lane.m_pass = std::max(lane.m_pass, queue->m_lane_pass);
  }
  CustomerLane &customer = lane.m_customers[work.m_customer];
  if (customer.m_work.empty()) {
    customer.m_pass = std::max(customer.m_pass, lane.m_customer_pass);
  }
  customer.m_work.emplace(work.m_deadline, work.m_request);
  lane.m_cost += work.m_cost;
  queue->m_deadlines.emplace(work.m_deadline, work.m_request);
}

std::optional<QueuedWork> RemoveWork(WorkQueue *queue, RequestNumber request) {
  auto found = queue->m_work.find(request);
  if (found == queue->m_work.end()) return std::nullopt;
  QueuedWork work = found->second;
  queue->m_work.erase(found);
  EraseWork(queue, work);
  return work;
}

const QueuedWork *PeekWork(const WorkQueue &queue, bool allow_yielding) {
  const WorkLane *next = nullptr;
  for (std::size_t i = 0; i < kWorkClassCount; ++i) {
    for (std::size_t length = 0; length < kWorkLengthCount; ++length) {
      bool is_yielding = IsYielding(static_cast<PriorityClass>(i),
                                    static_cast<WorkLength>(length));
      if (is_yielding && !allow_yielding) continue;
      const WorkLane &lane = queue.m_lanes[i][length];
      if (lane.m_customers.empty()) continue;
      if (next == nullptr || lane.m_pass < next->m_pass) next = &lane;
    }
  }
  if (next == nullptr) return nullptr;
  RequestNumber request = FindNextCustomer(*next)->m_work.begin()->second;
  return &queue.m_work.find(request)->second;
}

QueuedWork TakeWork(WorkQueue *queue, RequestNumber request) {
  auto found = queue->m_work.find(request);
  assert(found != queue->m_work.end());
  QueuedWork work = found->second;
  WorkLane &lane = FindLane(queue, work);
  double weight = GetLaneWeight(static_cast<std::size_t>(work.m_class),
                                static_cast<std::size_t>(work.m_length));
  queue->m_lane_pass = std::max(queue->m_lane_pass, lane.m_pass);
  lane.m_pass += work.m_cost / weight;
  CustomerLane &customer = lane.m_customers[work.m_customer];
  lane.m_customer_pass = std::max(lane.m_customer_pass, customer.m_pass);
  customer.m_pass += work.m_cost / work.m_customer_weight;
  queue->m_work.erase(found);
  // The pass of a customer without waiting work is forgotten, but its last
  // start stays charged through the lane's virtual time.
  EraseWork(queue, work);
  return work;
}

std::optional<RequestNumber> FindEvictable(const WorkQueue &queue,
                                           const QueuedWork &arrival) {
  std::size_t own_class = static_cast<std::size_t>(arrival.m_class);
  for (std::size_t lane_class = kWorkClassCount; lane_class-- > own_class;) {
    const CustomerLane *largest = nullptr;
    std::size_t own_waiting = 0;
    for (const WorkLane &lane : queue.m_lanes[lane_class]) {
      for (const auto &[customer, waiting] : lane.m_customers) {
        if (customer == arrival.m_customer) {
          own_waiting += waiting.m_work.size();
        }
        bool is_larger = largest == nullptr ||
                         waiting.m_work.size() > largest->m_work.size();
        if (is_larger) largest = &waiting;
      }
    }
    if (largest == nullptr) continue;
    bool is_lower_class = lane_class > own_class;
    if (is_lower_class || largest->m_work.size() > own_waiting + 1) {
      return largest->m_work.rbegin()->second;
    }
  }
  return std::nullopt;
}

double ComputeCostAhead(const WorkQueue &queue, PriorityClass work_class,
                        WorkLength length) {
  std::size_t own_class = static_cast<std::size_t>(work_class);
  std::size_t own_length = static_cast<std::size_t>(length);
  double own_weight = GetLaneWeight(own_class, own_length);
  double own_cost = queue.m_lanes[own_class][own_length].m_cost;
  double ahead = own_cost;
  for (std::size_t other = 0; other < kWorkClassCount; ++other) {
    for (std::size_t size = 0; size < kWorkLengthCount; ++size) {
      if (other == own_class && size == own_length) continue;
      // While the own lane is served, another one gets at most its share.
      double share = own_cost * GetLaneWeight(other, size) / own_weight;
      ahead += std::min(queue.m_lanes[other][size].m_cost, share);
    }
  }
  return ahead;
}

}  // namespace wasabiwind::route
