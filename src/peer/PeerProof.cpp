#include "peer/PeerProof.h"

#include "base/Check.h"

#include <array>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace HickoryHollow {

namespace {

constexpr std::size_t nonceBytes = 16;

} // namespace

std::string makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes {};
    internalAssert(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1, "the system has random bytes");
    return { bytes.begin(), bytes.end() };
}

std::string makeProof(std::string_view key, std::string_view nonce, std::string_view instance, std::uint64_t incarnation)
{
    const auto text = fmt::format("{}|{}|{}", nonce, instance, incarnation);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &length);
    return { digest.begin(), digest.begin() + length };
}

} // namespace HickoryHollow
