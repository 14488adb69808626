#include "http/BearerKey.h"

#include "base/Digest.h"
#include "http/HttpMessage.h"

namespace HickoryHollow {

bool hasBearerKey(const HttpRequest& request, std::string_view keySha256)
{
    constexpr std::string_view prefix = "Bearer ";
    const auto header = request.fields.find("Authorization");
    return header.starts_with(prefix) && equalConstantTime(sha256Hex(header.substr(prefix.size())), keySha256);
}

} // namespace HickoryHollow
