/** @file queue.cpp Fair queue of waiting requests, by class and customer. */

#include <algorithm>
#include <cassert>

#include "route/queue_func.h"

namespace wasabiwind::route {

namespace {

/** Weight of each lane, by class and length. Short requests have precedence
 * within their class, because they free their slots soon. */
constexpr double kLaneWeights[kPriorityClassCount][kRequestLengthCount] = {
    {16, 8},
    {8, 4},
    {1, 1},
};

double GetLaneWeight(std::size_t priority_class, std::size_t length) {
  return kLaneWeights[priority_class][length];
}

RequestLane &FindLane(RequestQueue *queue, const QueuedRequest &queued) {
  return queue->m_lanes[static_cast<std::size_t>(queued.m_class)]
                       [static_cast<std::size_t>(queued.m_length)];
}

void EraseRequest(RequestQueue *queue, const QueuedRequest &queued) {
  RequestLane &lane = FindLane(queue, queued);
  auto customer = lane.m_customers.find(queued.m_customer);
  assert(customer != lane.m_customers.end());
  customer->second.m_queued.erase({queued.m_deadline, queued.m_request});
  if (customer->second.m_queued.empty()) lane.m_customers.erase(customer);
  lane.m_cost = lane.m_customers.empty() ? 0 : lane.m_cost - queued.m_cost;
  queue->m_deadlines.erase({queued.m_deadline, queued.m_request});
}

const CustomerQueue *FindNextCustomer(const RequestLane &lane) {
  const CustomerQueue *next = nullptr;
  for (const auto &[customer, candidate] : lane.m_customers) {
    bool is_earlier = next == nullptr || candidate.m_pass < next->m_pass ||
                      (candidate.m_pass == next->m_pass &&
                       *candidate.m_queued.begin() < *next->m_queued.begin());
    if (is_earlier) next = &candidate;
  }
  return next;
}

}  // namespace

void PushRequest(RequestQueue *queue, const QueuedRequest &queued) {
  bool inserted = queue->m_queued.emplace(queued.m_request, queued).second;
  assert(inserted);
  (void)inserted;
  RequestLane &lane = FindLane(queue, queued);
  // A lane or customer that was idle gets no credit for that time.
  if (lane.m_customers.empty()) {
    lane.m_pass = std::max(lane.m_pass, queue->m_lane_pass);
  }
  CustomerQueue &customer = lane.m_customers[queued.m_customer];
  if (customer.m_queued.empty()) {
    customer.m_pass = std::max(customer.m_pass, lane.m_customer_pass);
  }
  customer.m_queued.emplace(queued.m_deadline, queued.m_request);
  lane.m_cost += queued.m_cost;
  queue->m_deadlines.emplace(queued.m_deadline, queued.m_request);
}

std::optional<QueuedRequest> RemoveRequest(RequestQueue *queue,
                                           RequestNumber request) {
  auto found = queue->m_queued.find(request);
  if (found == queue->m_queued.end()) return std::nullopt;
  QueuedRequest queued = found->second;
  queue->m_queued.erase(found);
  EraseRequest(queue, queued);
  return queued;
}

const QueuedRequest *PeekRequest(const RequestQueue &queue,
                                 bool allow_deferrable) {
  const RequestLane *next = nullptr;
  for (std::size_t i = 0; i < kPriorityClassCount; ++i) {
    for (std::size_t length = 0; length < kRequestLengthCount; ++length) {
      bool is_deferrable = IsDeferrable(static_cast<PriorityClass>(i),
                                        static_cast<RequestLength>(length));
      if (is_deferrable && !allow_deferrable) continue;
      const RequestLane &lane = queue.m_lanes[i][length];
      if (lane.m_customers.empty()) continue;
      if (next == nullptr || lane.m_pass < next->m_pass) next = &lane;
    }
  }
  if (next == nullptr) return nullptr;
  RequestNumber request = FindNextCustomer(*next)->m_queued.begin()->second;
  return &queue.m_queued.find(request)->second;
}

QueuedRequest TakeRequest(RequestQueue *queue, RequestNumber request) {
  auto found = queue->m_queued.find(request);
  assert(found != queue->m_queued.end());
  QueuedRequest queued = found->second;
  RequestLane &lane = FindLane(queue, queued);
  double weight = GetLaneWeight(static_cast<std::size_t>(queued.m_class),
                                static_cast<std::size_t>(queued.m_length));
  queue->m_lane_pass = std::max(queue->m_lane_pass, lane.m_pass);
  lane.m_pass += queued.m_cost / weight;
  CustomerQueue &customer = lane.m_customers[queued.m_customer];
  lane.m_customer_pass = std::max(lane.m_customer_pass, customer.m_pass);
  customer.m_pass += queued.m_cost / queued.m_customer_weight;
  queue->m_queued.erase(found);
  // The pass of a customer without waiting requests is dropped. When it
  // returns, its pass is at least that at which the lane's last request
  // started.
  EraseRequest(queue, queued);
  return queued;
}

std::optional<RequestNumber> FindEvictable(const RequestQueue &queue,
                                           const QueuedRequest &arrival) {
  std::size_t own_class = static_cast<std::size_t>(arrival.m_class);
  for (std::size_t lane_class = kPriorityClassCount;
       lane_class-- > own_class;) {
    const CustomerQueue *largest = nullptr;
    std::size_t own_waiting = 0;
    for (const RequestLane &lane : queue.m_lanes[lane_class]) {
      for (const auto &[customer, waiting] : lane.m_customers) {
        if (customer == arrival.m_customer) {
          own_waiting += waiting.m_queued.size();
        }
        bool is_larger = largest == nullptr ||
                         waiting.m_queued.size() > largest->m_queued.size();
        if (is_larger) largest = &waiting;
      }
    }
    if (largest == nullptr) continue;
    bool is_lower_class = lane_class > own_class;
    if (is_lower_class || largest->m_queued.size() > own_waiting + 1) {
      return largest->m_queued.rbegin()->second;
    }
  }
  return std::nullopt;
}

double ComputeCostAhead(const RequestQueue &queue, PriorityClass priority_class,
                        RequestLength length) {
  std::size_t own_class = static_cast<std::size_t>(priority_class);
  std::size_t own_length = static_cast<std::size_t>(length);
  double own_weight = GetLaneWeight(own_class, own_length);
  double own_cost = queue.m_lanes[own_class][own_length].m_cost;
  double ahead = own_cost;
  for (std::size_t other_class = 0; other_class < kPriorityClassCount;
       ++other_class) {
    for (std::size_t size = 0; size < kRequestLengthCount; ++size) {
      if (other_class == own_class && size == own_length) continue;
      // While this lane is served, another one gets at most its share.
      double share = own_cost * GetLaneWeight(other_class, size) / own_weight;
      ahead += std::min(queue.m_lanes[other_class][size].m_cost, share);
    }
  }
  return ahead;
}

}  // namespace wasabiwind::route
