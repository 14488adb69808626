#include "entry/AnnouncementJson.h"

#include "base/Check.h"
#include "net/Endpoint.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace HickoryHollow {

namespace json = boost::json;

namespace {

constexpr std::uint64_t maxSlots = 100'000;
constexpr std::uint64_t maxAgeMilliseconds = 3'600'000;

const json::value& requireMember(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (!value)
        throw UserError(fmt::format("`{}` is missing", key));
    return *value;
}

std::string readString(const json::object& object, std::string_view key)
{
    const auto& value = requireMember(object, key);
    if (!value.is_string() || value.get_string().empty())
        throw UserError(fmt::format("`{}` is not a non-empty string", key));
    return std::string(value.get_string());
}

std::uint64_t readNumber(const json::object& object, std::string_view key, std::uint64_t max)
{
    const auto& value = requireMember(object, key);
    json::error_code ec;
    const auto n = value.to_number<std::uint64_t>(ec);
    if (ec || n > max)
        throw UserError(fmt::format("`{}` is not an integer from 0 to {}", key, max));
    return n;
}

bool readFlag(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value && !value->is_bool())
        throw UserError(fmt::format("`{}` is not a boolean", key));
    return value && value->get_bool();
}

void readModels(const json::object& object, BackendRecord& record)
{
    const auto* models = object.if_contains("models");
    if (!models)
        return;
    if (!models->is_array())
        throw UserError("`models` is not an array");
    for (const auto& it : models->get_array()) {
        if (!it.is_string())
            throw UserError("`models` contains an element that is not a string");
        record.models.emplace_back(std::string(it.get_string()));
    }
}

BackendCapabilities readCapabilities(const json::object& object)
{
    const auto* value = object.if_contains("capabilities");
    if (!value)
        return {};
    if (!value->is_object())
        throw UserError("`capabilities` is not an object");
    const auto& flags = value->get_object();
    return { .priorities = readFlag(flags, "priorities"), .resume = readFlag(flags, "resume"), .cancel = readFlag(flags, "cancel"), .checksFencing = readFlag(flags, "checks_fencing") };
}

std::optional<LoadReport> readLoad(const json::object& object)
{
    const auto* value = object.if_contains("load");
    if (!value)
        return std::nullopt;
    if (!value->is_object())
        throw UserError("`load` is not an object");
    const auto& load = value->get_object();
    LoadReport report;
    report.running = static_cast<std::uint32_t>(readNumber(load, "running", maxSlots));
    report.queued = static_cast<std::uint32_t>(readNumber(load, "queued", maxSlots));
    report.age = std::chrono::milliseconds(readNumber(load, "age_ms", maxAgeMilliseconds));
    return report;
}

Announcement readAnnouncement(const json::object& object)
{
    Announcement announcement;
    auto& record = announcement.record;
    record.id = BackendId(readString(object, "address"));
    if (!parseEndpoint(record.id.value()))
        throw UserError(fmt::format("`address` {} is not `ip:port`", record.id.value()));
    record.incarnation = Incarnation(readNumber(object, "incarnation", UINT64_MAX));
    record.sequence = readNumber(object, "sequence", UINT64_MAX);
    record.state = readFlag(object, "leaving") ? BackendState::Leaving : BackendState::Serving;
    record.service = ServiceId(readString(object, "service"));
    readModels(object, record);
    record.failureDomain = FailureDomainId(readString(object, "failure_domain"));
    record.slots = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, readNumber(object, "slots", maxSlots)));
    record.capabilities = readCapabilities(object);
    announcement.load = readLoad(object);
    return announcement;
}

} // namespace

std::variant<Announcement, std::string> parseAnnouncement(std::string_view text)
{
    json::error_code ec;
    const auto value = json::parse(json::string_view(text.data(), text.size()), ec);
    if (ec || !value.is_object())
        return std::string("the body is not a JSON object");
    try {
        return readAnnouncement(value.get_object());
    } catch (const UserError& error) {
        return std::string(error.what());
    }
}

} // namespace HickoryHollow
