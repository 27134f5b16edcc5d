/** @file host_list_func.h Addresses of control hosts in settings. */

#ifndef WASABIWIND_FLEET_HOST_LIST_FUNC_H_
#define WASABIWIND_FLEET_HOST_LIST_FUNC_H_

#include <string>
#include <vector>

namespace wasabiwind::fleet {

/** @return the addresses of a list separated by commas, without spaces. */
std::vector<std::string> ParseHostList(const std::string &text);

/**
 * @param host operators' address "ip:port" of a control host
 * @return its message endpoint: the same IP number with the message port
 */
std::string MakeMessageEndpoint(const std::string &host, int message_port);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_HOST_LIST_FUNC_H_
