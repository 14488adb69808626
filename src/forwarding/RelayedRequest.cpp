#include "forwarding/RelayedRequest.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxNameBytes = 256; // It goes into log lines.
constexpr std::string_view besideAttempt = "beside-attempt";
constexpr std::string_view versionPrefix = "version=";

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '-' || character == '.' || character == '_';
}

template <typename T>
bool parseNumber(std::string_view text, T& value)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && end == text.data() + text.size();
}

bool parseFirst(std::string_view text, RelayedRequest& request)
{
    const auto runsAt = text.find(';');
    const auto continuesAt = text.rfind(';');
    if (runsAt == std::string_view::npos || runsAt == 0 || runsAt == continuesAt || runsAt > maxNameBytes)
        return false;
    const auto name = text.substr(0, runsAt);
    const auto continues = text.substr(continuesAt + 1);
    if (!parseNumber(text.substr(runsAt + 1, continuesAt - runsAt - 1), request.earlierRuns) || (continues != "0" && continues != "1"))
        return false;
    if (!std::all_of(name.begin(), name.end(), isNameCharacter))
        return false;
    request.from = InstanceId(std::string(name));
    request.continuesStream = continues == "1";
    return true;
}

bool parseFurther(std::string_view text, RelayedRequest& request)
{
    while (!text.empty()) {
        const auto word = text.substr(0, text.find(';'));
        text.remove_prefix(std::min(text.size(), word.size() + 1));
        request.isBesideAttempt = request.isBesideAttempt || word == besideAttempt;
        if (!word.starts_with(versionPrefix))
            continue;
        std::uint64_t version = 0;
        if (!parseNumber(word.substr(versionPrefix.size()), version))
            return false;
        request.version = VersionId(version);
    }
    return true;
}

} // namespace

void addTo(HttpFields& fields, const RelayedRequest& request)
{
    fields.add(std::string(relayField), toText(request));
    std::string further = request.isBesideAttempt ? std::string(besideAttempt) : "";
    if (request.version)
        further += fmt::format("{}{}{}", further.empty() ? "" : ";", versionPrefix, request.version->value());
    if (!further.empty())
        fields.add(std::string(relayField), std::move(further));
}

std::string toText(const RelayedRequest& request)
{
    return fmt::format("{};{};{}", request.from.value(), request.earlierRuns, request.continuesStream ? 1 : 0);
}

std::optional<RelayedRequest> parseRelayedRequest(const HttpFields& fields)
{
    std::optional<RelayedRequest> request;
    for (const auto& it : fields.all()) {
        if (!boost::beast::iequals(it.name, relayField))
            continue;
        const auto isFirst = !request;
        if (isFirst)
            request.emplace();
        if (!(isFirst ? parseFirst(it.value, *request) : parseFurther(it.value, *request)))
            return std::nullopt;
    }
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
