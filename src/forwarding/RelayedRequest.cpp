#include "forwarding/RelayedRequest.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxNameBytes = 256; // It goes into log lines.

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '-' || character == '.' || character == '_';
}

} // namespace

std::string toText(const RelayedRequest& request)
{
    return fmt::format("{};{};{}", request.from.value(), request.earlierRuns, request.continuesStream ? 1 : 0);
}

std::optional<RelayedRequest> parseRelayedRequest(const HttpFields& fields)
{
    const auto text = fields.find(relayField);
    const auto runsAt = text.find(';');
    const auto continuesAt = text.rfind(';');
    if (runsAt == std::string_view::npos || runsAt == 0 || runsAt == continuesAt || runsAt > maxNameBytes)
        return std::nullopt;
    const auto name = text.substr(0, runsAt);
    const auto runs = text.substr(runsAt + 1, continuesAt - runsAt - 1);
    const auto continues = text.substr(continuesAt + 1);
    RelayedRequest request { .from = InstanceId(std::string(name)) };
    const auto [end, ec] = std::from_chars(runs.data(), runs.data() + runs.size(), request.earlierRuns);
    if (ec != std::errc() || end != runs.data() + runs.size() || (continues != "0" && continues != "1"))
        return std::nullopt;
    if (!std::all_of(name.begin(), name.end(), isNameCharacter))
        return std::nullopt;
    request.continuesStream = continues == "1";
    return request;
}

HttpFields withoutRelayField(const HttpFields& fields)
{
    HttpFields others;
    for (const auto& it : fields.all()) {
        if (!boost::beast::iequals(it.name, relayField))
            others.add(it.name, it.value);
    }
    return others;
}

} // namespace HickoryHollow
