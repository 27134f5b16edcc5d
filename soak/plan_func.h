/** @file plan_func.h Makes the faults of a soak from its seed. */

#ifndef WASABIWIND_SOAK_PLAN_FUNC_H_
#define WASABIWIND_SOAK_PLAN_FUNC_H_

#include "soak/plan_type.h"

namespace wasabiwind::soak {

/**
 * Makes a plan: storms of faults that come in series and overlap, and calm
 * times with planned work, in turn. The same arguments give the same plan. At
 * most one control host is without its disk at a time. Thread-safe.
 */
SoakPlan MakePlan(std::uint64_t seed, base::milliseconds duration);

/** @return the name of a fault for the log. */
const char *GetFaultName(FaultKind kind);

/** @return whether a fault hits control hosts or their messages. */
bool HitsControl(FaultKind kind);

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_PLAN_FUNC_H_
