#include "entry/OperatorApi.h"

#include "http/BearerKey.h"
#include "http/Refusal.h"
#include "http/ResponseWriter.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace HickoryHollow {

namespace json = boost::json;

namespace {

HttpResponse notRunResponse(RouterError error, std::string detail)
{
    return toResponse({ .error = error, .verdict = Verdict::NotRun, .detail = std::move(detail), .retryAfter = {} });
}

std::string textOf(const json::object& object, std::string_view key, std::string fallback)
{
    const auto* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::move(fallback);
}

} // namespace

OperatorApi::OperatorApi(Options options)
    : m_options(std::move(options))
{
}

Task<void> OperatorApi::handle(const HttpRequest& request, ResponseWriter& writer)
{
    auto response = co_await answer(request);
    co_await writer.send(std::move(response));
}

Task<HttpResponse> OperatorApi::answer(const HttpRequest& request)
{
    if (!hasBearerKey(request, m_options.keySha256))
        co_return notRunResponse(RouterError::UnknownWorkspace, "the bearer key is not the operators' key");
    const auto path = request.path();
    if (path == "/v1/status")
        co_return status();
    if (path == "/v1/dump")
        co_return dump({});
    if (path == "/v1/backends")
        co_return dump("backends");
    if (path == "/v1/settings" && request.method == "GET")
        co_return settings();
    if (path == "/v1/settings" && request.method == "POST")
        co_return co_await submit(request);
    if (path == "/v1/state/form" && request.method == "POST")
        co_return formState();
    co_return notRunResponse(RouterError::UnknownPath, fmt::format("{} {}", request.method, path));
}

HttpResponse OperatorApi::status() const
{
    const auto settings = m_options.settings.latest();
    const json::object body {
        { "instance", m_options.instance },
        { "draining", m_options.isDraining() },
        { "settings_version", settings ? settings->version.value() : 0 },
        { "settings_lease_valid", m_options.settings.isLeaseValid(monotonicNow()) },
    };
    return jsonResponse(200, json::serialize(body));
}

HttpResponse OperatorApi::dump(const std::string& onlySection) const
{
    json::object body { { "instance", m_options.instance } };
    for (const auto& section : m_options.sections) {
        if (onlySection.empty() || section.name == onlySection)
            body[section.name] = section.read();
    }
    return jsonResponse(200, json::serialize(body));
}

HttpResponse OperatorApi::settings() const
{
    const auto settings = m_options.settings.latest();
    if (!settings)
        return notRunResponse(RouterError::SettingsStale, "this instance has not had any active settings yet");
    return jsonResponse(200, json::serialize(json::object { { "version", settings->version.value() }, { "inventory", settings->text.inventory }, { "rules", settings->text.rules } }));
}

HttpResponse OperatorApi::formState() const
{
    const auto error = m_options.formState();
    return error.empty() ? jsonResponse(200, R"({"formed":true})") : notRunResponse(RouterError::StateUnavailable, error);
}

std::optional<SettingsChange> OperatorApi::readChange(const HttpRequest& request) const
{
    json::error_code ec;
    const auto body = json::parse(request.body.text(), ec);
    if (ec || !body.is_object())
        return std::nullopt;
    const auto& object = body.get_object();
    const auto latest = m_options.settings.latest();
    const auto active = latest ? latest->text : SettingsText {};
    const auto* expected = object.if_contains("expected_version");
    if (!expected || !expected->is_int64() || expected->get_int64() < 0)
        return std::nullopt;
    SettingsChange change;
    change.id = ChangeId(textOf(object, "change_id", {}));
    change.author = textOf(object, "author", "unnamed");
    change.expected = SettingsVersion(static_cast<std::uint64_t>(expected->get_int64()));
    change.text.inventory = textOf(object, "inventory", active.inventory);
    change.text.rules = textOf(object, "rules", active.rules);
    if (change.id.value().empty())
        return std::nullopt;
    return change;
}

Task<HttpResponse> OperatorApi::submit(const HttpRequest& request)
{
    const auto change = readChange(request);
    if (!change)
        co_return notRunResponse(RouterError::MalformedRequest, "the body is not a JSON object with a non-empty `change_id` and a non-negative `expected_version`");
    Diagnostics diagnostics;
    if (!parseRoutingSettings(change->text, change->expected, diagnostics))
        co_return notRunResponse(RouterError::InvalidSettings, toString(diagnostics));
    const auto outcome = co_await m_options.store.submit(*change);
    if (outcome.kind == SettingsOutcome::Kind::Unavailable)
        co_return notRunResponse(RouterError::StateUnavailable, "the outcome of the change is not known; submit it again with the same change_id");
    if (outcome.kind == SettingsOutcome::Kind::Conflict)
        co_return notRunResponse(RouterError::VersionConflict, fmt::format("the settings are already at version {}, submitted by `{}`", outcome.version.value(), outcome.author));
    co_return jsonResponse(200, fmt::format("{{\"version\":{}}}", outcome.version.value()));
}

} // namespace HickoryHollow
