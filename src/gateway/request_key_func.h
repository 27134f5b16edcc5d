/** @file request_key_func.h Recognizes a request that comes again. */

#ifndef WASABIWIND_GATEWAY_REQUEST_KEY_FUNC_H_
#define WASABIWIND_GATEWAY_REQUEST_KEY_FUNC_H_

#include <cstdint>

#include "gateway/protocol_type.h"

namespace wasabiwind::gateway {

/**
 * @return a key of what a caller asks for: host, method, path with query, the
 *         caller's credential and the body. IDs, deadlines and addresses differ
 *         when a request comes again, so they aren't part of it. Callers can't
 *         construct a request with the key of another one.
 */
std::uint64_t MakeRequestKey(const net::HttpRequest &request,
                             const RequestMetadata &metadata);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_REQUEST_KEY_FUNC_H_
