/** @file envelope_func.h The envelope of all messages between nodes. */

#ifndef WASABIWIND_NET_ENVELOPE_FUNC_H_
#define WASABIWIND_NET_ENVELOPE_FUNC_H_

#include <envelope.pb.h>

#include <optional>
#include <string>

namespace wasabiwind::net {

/**
 * @param address where the sender gets messages
 * @param node name of the sender
 * @return an envelope without content. Thread-safe.
 */
gen::Envelope MakeEnvelope(const std::string &address, const std::string &node);

/**
 * @return the envelope, or nullopt if it can't be read or has another version.
 *         Thread-safe.
 */
std::optional<gen::Envelope> ParseEnvelope(const std::string &bytes);

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_ENVELOPE_FUNC_H_
