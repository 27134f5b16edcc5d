/** @file budget_func.h Budgets that limit hedges and retries to a share of
 * requests. */

#ifndef WASABIWIND_ROUTE_BUDGET_FUNC_H_
#define WASABIWIND_ROUTE_BUDGET_FUNC_H_

#include <algorithm>

namespace wasabiwind::route {

/** Credit for hedges or retries, earned by first attempts. Not thread-safe. */
struct Budget {
  double m_share = 0;       ///< credit per first attempt
  double m_max_credit = 0;  ///< limits bursts after a quiet period
  double m_credit = 0;
};

/** Adds the credit of one first attempt. */
inline void EarnBudget(Budget *budget) {
  budget->m_credit =
      std::min(budget->m_max_credit, budget->m_credit + budget->m_share);
}

/** @return whether the credit allowed one extra attempt, which is deducted. */
inline bool SpendBudget(Budget *budget) {
  if (budget->m_credit < 1) return false;
  budget->m_credit -= 1;
  return true;
}

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_BUDGET_FUNC_H_
