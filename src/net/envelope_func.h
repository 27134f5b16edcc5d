/** @file envelope_func.h Envelope of messages between nodes. */

#ifndef WASABIWIND_NET_ENVELOPE_FUNC_H_
#define WASABIWIND_NET_ENVELOPE_FUNC_H_

#include <envelope.pb.h>

#include <optional>
#include <string>

namespace wasabiwind::net {

/**
 * @param address message endpoint of the sender
 * @param node node name of the sender
 * @return an envelope without a body. Thread-safe.
 */
gen::Envelope MakeEnvelope(const std::string &address, const std::string &node);

/**
 * @return the envelope, or nullopt if it can't be parsed or has another
 *         version. Thread-safe.
 */
std::optional<gen::Envelope> ParseEnvelope(const std::string &bytes);

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_ENVELOPE_FUNC_H_
