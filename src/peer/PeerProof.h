/** \file
 * Challenge-response authentication between instances: the dialer proves that it knows the shared peer key without
 * sending it.
 */
#pragma once

#include <string>
#include <string_view>

namespace HickoryHollow {

/** Random bytes of a challenge, which the proof must cover, so that a proof from an earlier connection is worthless. */
std::string makeNonce();
/** HMAC-SHA-256, under the shared key, of the challenge's nonce and the dialer's instance name and incarnation. */
std::string makeProof(std::string_view key, std::string_view nonce, std::string_view instance, std::uint64_t incarnation);

} // namespace HickoryHollow
