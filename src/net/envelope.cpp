/** @file envelope.cpp Envelope of messages between nodes. */

#include "net/envelope_func.h"

namespace wasabiwind::net {

namespace {

/** Receivers drop messages of any other version. */
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
  bool is_readable =
      envelope.ParseFromString(bytes) && envelope.version() == kEnvelopeVersion;
  if (!is_readable) return std::nullopt;
  return envelope;
}

}  // namespace wasabiwind::net
