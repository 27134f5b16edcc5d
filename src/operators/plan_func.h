/** @file plan_func.h Plans that make the configuration equal to files. */

#ifndef WASABIWIND_OPERATORS_PLAN_FUNC_H_
#define WASABIWIND_OPERATORS_PLAN_FUNC_H_

#include <config.pb.h>
#include <operators.pb.h>

#include <string>
#include <vector>

#include "base/error_type.h"

namespace wasabiwind::operators {

/** Changes that make the configuration equal to the declared one. */
struct Plan {
  std::uint64_t m_base_revision = 0;
  gen::Declarations m_current;  ///< canonical
  gen::Declarations m_wanted;   ///< canonical
  std::vector<gen::Change> m_changes;
};

/**
 * Reads files that together declare the whole configuration.
 * @return kIo, kInvalidSettings with file, line, key and remedy, or
 *         kInvalidArgument if a check fails or two files declare one entity
 */
base::Result<gen::Declarations> LoadDeclarationFiles(
    const std::vector<std::string> &paths);

/**
 * @param current reply of the control leader for the current revision
 * @param wanted canonical declarations
 * @return kProtocol if the reply can't be parsed
 */
base::Result<Plan> MakePlan(const gen::ConfigReply &current,
                            const gen::Declarations &wanted);

/** @return number of deleted entities. */
std::size_t CountDeletes(const Plan &plan);

/** @return one line for each entity and, indented, for each changed field. */
std::string PrintPlan(const Plan &plan);

/**
 * Splits a plan into batches within the size limit, each based on the previous
 * one. A single batch has the operation ID as given, several have "ID/1",
 * "ID/2" and so on; each batch is atomic, but not the plan as a whole.
 */
std::vector<gen::ChangeBatch> MakeBatches(const Plan &plan,
                                          const std::string &operation_id,
                                          const std::string &operator_name);

}  // namespace wasabiwind::operators

#endif  // WASABIWIND_OPERATORS_PLAN_FUNC_H_
