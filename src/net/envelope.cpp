/** @file envelope.cpp The envelope of all messages between nodes. */

#include "net/envelope_func.h"

namespace wasabiwind::net {

namespace {

/** Nodes of another version can't read each other's messages. */
constexpr std::uint32_t kEnvelopeVersion = 1;

}  // namespace

gen::Envelope MakeEnvelope(const std::string &address,
                           const std::string &node) {
  gen::Envelope envelope;
  envelope.set_version(kEnvelopeVersion);
  envelope.set_from(address);
  envelope.set_from_node(node);
  return envelope;
}

std::optional<gen::Envelope> ParseEnvelope(const std::string &bytes) {
  gen::Envelope envelope;
  bool is_known =
      envelope.ParseFromString(bytes) && envelope.version() == kEnvelopeVersion;
  if (!is_known) return std::nullopt;
  return envelope;
}

}  // namespace wasabiwind::net
