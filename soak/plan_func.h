/** @file plan_func.h Generates the faults of a soak from its seed. */

#ifndef WASABIWIND_SOAK_PLAN_FUNC_H_
#define WASABIWIND_SOAK_PLAN_FUNC_H_

#include "soak/plan_type.h"

namespace wasabiwind::soak {

/**
 * Generates a plan in which fault phases and quiet phases alternate. Faults may
 * overlap and repeat; quiet phases contain planned work. Most seeds start with
 * a phase of one kind, which is added to the duration: a series of changes,
 * prompts or requests that crash runners, or runners that fall silent. The same
 * arguments give the same plan. While the data folder of a control host is
 * replaced, no other fault affects control hosts or messages. Thread-safe.
 */
SoakPlan MakePlan(std::uint64_t seed, base::milliseconds duration);

/** @return the name of a fault in the log. */
const char *GetFaultName(FaultKind kind);

/** @return whether a fault affects control hosts or messages. */
bool AffectsControl(FaultKind kind);

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_PLAN_FUNC_H_
