/** @file protocol_func.h Operators' HTTP interface, for client and server. */

#ifndef WASABIWIND_OPERATORS_PROTOCOL_FUNC_H_
#define WASABIWIND_OPERATORS_PROTOCOL_FUNC_H_

#include <google/protobuf/message.h>
#include <operators.pb.h>

#include <string>

#include "base/error_type.h"
#include "config/state_type.h"

namespace wasabiwind::operators {

constexpr const char *kApplyPath = "/ops/v1/apply";
constexpr const char *kTestPath = "/ops/v1/test";
constexpr const char *kConfigPath = "/ops/v1/config";
constexpr const char *kHistoryPath = "/ops/v1/history";
constexpr const char *kStatusPath = "/ops/v1/status";

/** @return the message in protobuf's JSON format, with proto field names. */
std::string ToJson(const google::protobuf::Message &message);

/** Parses a JSON body. @return kProtocol with the position of the error */
base::Result<void> FromJson(const std::string &json,
                            google::protobuf::Message *message);

/** @return the HTTP status of the response for an error. */
int GetHttpStatus(base::ErrorKind kind);

/** @return the kind of this name, or kInternal for an unknown one. */
base::ErrorKind FindErrorKind(const std::string &name);

gen::OperatorsError MakeOperatorsError(const base::Error &error);
gen::OperatorsError MakeOperatorsError(const config::BatchRefusal &refusal);

/** @return the reply to an accepted batch. */
gen::ApplyReply MakeApplyReply(const config::BatchOutcome &outcome);

gen::ChangeEffect MakeChangeEffect(const config::EntityEffect &effect);

/**
 * Prints a configuration for GET /ops/v1/config.
 * @return kNotFound if the history doesn't reach to the revision
 */
base::Result<gen::ConfigReply> MakeConfigReply(const config::ConfigState &state,
                                               base::Revision revision);

/** @param limit maximum number of items; the newest are returned */
gen::HistoryReply MakeHistoryReply(const config::ConfigState &state,
                                   std::size_t limit);

}  // namespace wasabiwind::operators

#endif  // WASABIWIND_OPERATORS_PROTOCOL_FUNC_H_
