/** @file settings_func.h Parses and prints INI settings as protobuf messages.
 */

#ifndef WASABIWIND_BASE_SETTINGS_FUNC_H_
#define WASABIWIND_BASE_SETTINGS_FUNC_H_

#include <google/protobuf/message.h>

#include <string>

#include "base/error_type.h"

namespace wasabiwind::base {

/**
 * Fills a message from INI text. A section is a message field of `settings`;
 * a key is a scalar field of that section's message, whose SettingRule option
 * gives unit, range, default and remedy. A repeated message field is written
 * `[field LABEL]`, once for each element; LABEL is its string field `name`.
 * A list may continue on following lines that begin with a space. Takes time
 * linear in the length of the text. Thread-safe.
 *
 * @param text the INI text
 * @param file_name name used in error messages
 * @param[out] settings filled message, defaults applied
 * @return an error of kind kInvalidSettings with file, line, key and remedy
 */
Result<void> ParseSettings(const std::string &text,
                           const std::string &file_name,
                           google::protobuf::Message *settings);

/**
 * Reads a file and parses it with ParseSettings. Thread-safe.
 * @return kIo if the file can't be read, else as ParseSettings
 */
Result<void> LoadSettings(const std::string &path,
                          google::protobuf::Message *settings);

/**
 * @param settings message as filled by ParseSettings
 * @return INI text that parses to the same message; every key is present.
 *         Thread-safe on a const message.
 */
std::string PrintSettings(const google::protobuf::Message &settings);

}  // namespace wasabiwind::base

#endif  // WASABIWIND_BASE_SETTINGS_FUNC_H_
