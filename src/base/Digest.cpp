#include "base/Digest.h"

#include "base/Check.h"

#include <array>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

namespace HickoryHollow {

std::string sha256Hex(std::string_view text)
{
    return sha256Hex({ text });
}

std::string sha256Hex(std::initializer_list<std::string_view> parts)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    auto isDone = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const auto& it : parts)
        isDone = isDone && EVP_DigestUpdate(context.get(), it.data(), it.size()) == 1;
    isDone = isDone && EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
    internalAssert(isDone, "SHA-256 is available");
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const auto byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 15U]);
    }
    return hex;
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace HickoryHollow
