/** @file command_line_func.h Command line parsing shared by all programs. */

#ifndef WASABIWIND_NET_COMMAND_LINE_FUNC_H_
#define WASABIWIND_NET_COMMAND_LINE_FUNC_H_

#include <string>
#include <vector>

namespace wasabiwind::net {

/** Name and description of a program for --help and --version. */
struct ProgramInfo {
  std::string m_name;         ///< binary name, such as "ww_entry"
  std::string m_description;  ///< one sentence for --help
};

/**
 * Parses the flags of a command line; --help lists only flags of this project.
 * Also ignores SIGPIPE, so that a write to a closed connection doesn't end the
 * process.
 * @return the positional arguments, the program first
 * @pre called once, at the start of main
 */
std::vector<std::string> ParseFlags(int argc, char **argv,
                                    const ProgramInfo &info);

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_COMMAND_LINE_FUNC_H_
