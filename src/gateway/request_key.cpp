/** @file request_key.cpp Recognizes a request that comes again. */

#include <sodium/crypto_generichash.h>

#include <array>
#include <string>

#include "gateway/request_key_func.h"

namespace wasabiwind::gateway {

namespace {

using HashState = crypto_generichash_state;

void AddBytes(HashState *state, const void *bytes, std::size_t size) {
  (void)crypto_generichash_update(
      state, static_cast<const unsigned char *>(bytes), size);
}

/** Adds a text and its length, so that no two lists of texts hash alike. */
void AddText(HashState *state, const std::string &text) {
  std::uint64_t size = text.size();
  AddBytes(state, &size, sizeof(size));
  AddBytes(state, text.data(), text.size());
}

}  // namespace

std::uint64_t MakeRequestKey(const net::HttpRequest &request,
                             const RequestMetadata &metadata) {
  // The functions fail only for sizes of key and digest that are out of range.
  HashState state;
  (void)crypto_generichash_init(&state, nullptr, 0, crypto_generichash_BYTES);
  AddText(&state, metadata.m_host);
  AddText(&state, request.m_method);
  AddText(&state, request.m_target);
  AddText(&state, metadata.m_caller);
  AddText(&state, request.m_body);
  std::array<unsigned char, crypto_generichash_BYTES> digest;
  (void)crypto_generichash_final(&state, digest.data(), digest.size());
  std::uint64_t key = 0;
  for (std::size_t i = 0; i < sizeof(key); ++i) key = key << 8 | digest[i];
  return key;
}

}  // namespace wasabiwind::gateway
