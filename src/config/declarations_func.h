/** @file declarations_func.h Prints, parses and compares sets of declarations.
 */

#ifndef WASABIWIND_CONFIG_DECLARATIONS_FUNC_H_
#define WASABIWIND_CONFIG_DECLARATIONS_FUNC_H_

#include <string>
#include <vector>

#include "config/state_type.h"

namespace wasabiwind::config {

/**
 * Brings declarations into their one canonical form: entities sorted by name,
 * sets sorted without duplicates, hexadecimal digits in lower case.
 */
void NormalizeDeclarations(gen::Declarations *declarations);

/**
 * Parses an INI declarations file and brings it into canonical form.
 * @return kInvalidSettings with file, line, key and remedy. Names, references
 *         and limits are checked by CheckDeclarations.
 */
base::Result<gen::Declarations> ParseDeclarations(const std::string &text,
                                                  const std::string &file_name);

/** As ParseDeclarations, from a file. @return also kIo */
base::Result<gen::Declarations> LoadDeclarations(const std::string &path);

/**
 * @param declarations in canonical form
 * @return canonical INI text: the same declarations always give the same text
 */
std::string PrintDeclarations(const gen::Declarations &declarations);

/**
 * Makes the same checks as a batch that puts all declarations at once.
 * @param capacities runners to check against; empty: no such checks
 */
base::Result<void> CheckDeclarations(
    const gen::Declarations &declarations,
    const std::vector<gen::RegionCapacity> &capacities = {});

/** @return hash of the declarations. @pre they are in canonical form */
ContentHash HashDeclarations(const gen::Declarations &declarations);

/**
 * Lists the changes that lead from one set to another: puts, each after what
 * it refers to, then deletes, each before what it refers to. A long list may
 * therefore be split into several batches.
 * @pre both are in canonical form
 */
std::vector<gen::Change> DiffDeclarations(const gen::Declarations &from,
                                          const gen::Declarations &to);

}  // namespace wasabiwind::config

#endif  // WASABIWIND_CONFIG_DECLARATIONS_FUNC_H_
