/** \file
 * Proof that a dialling instance knows the instances' shared key, without showing it.
 */
#pragma once

#include <string>
#include <string_view>

namespace HickoryHollow {

/** Random bytes that a proof must cover. */
std::string makeNonce();
/** HMAC-SHA-256 of nonce, instance and incarnation under the shared key. */
std::string makeProof(std::string_view key, std::string_view nonce, std::string_view instance, std::uint64_t incarnation);

} // namespace HickoryHollow
