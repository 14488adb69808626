#include "entry/CallerRequest.h"

#include "base/Digest.h"
#include "http/HttpMessage.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t maxKeyBytes = 255;
constexpr std::uint64_t maxDeadlineMilliseconds = 3'600'000;
constexpr std::size_t hashedPrefixBytes = 1024; // Start of the first message or prompt, hashed for prefix-cache affinity.
constexpr int defaultDeadlineFactor = 4; // Deadline if the caller gives none, in whole-answer targets.
constexpr Duration minDefaultDeadline = std::chrono::seconds(30);

Refusal notRunRefusal(RouterError error, std::string detail)
{
    return { .error = error, .verdict = Verdict::NotRun, .detail = std::move(detail), .retryAfter = {} };
}

std::optional<Refusal> readClass(const HttpRequest& request, CallerRequest& parsed)
{
    const auto name = request.fields.find("X-Hickory-Class");
    const auto& permitted = parsed.workspace->classes;
    const auto requested = name.empty() ? permitted.front() : ClassId(std::string(name));
    if (std::find(permitted.begin(), permitted.end(), requested) == permitted.end())
        return notRunRefusal(RouterError::ClassNotPermitted, fmt::format("class `{}`", requested.value()));
    parsed.requestClass = parsed.settings->rules.find(requested);
    return std::nullopt;
}

std::optional<Refusal> readDeadline(const HttpRequest& request, CallerRequest& parsed)
{
    const auto text = request.fields.find("X-Hickory-Deadline-Ms");
    if (text.empty()) {
        parsed.deadline = parsed.arrival + std::max(minDefaultDeadline, parsed.requestClass->wholeAnswerTarget * defaultDeadlineFactor);
        return std::nullopt;
    }
    std::uint64_t milliseconds = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const auto isNumber = result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (!isNumber || milliseconds == 0 || milliseconds > maxDeadlineMilliseconds)
        return notRunRefusal(RouterError::BadDeadline, fmt::format("X-Hickory-Deadline-Ms is not an integer from 1 to {}", maxDeadlineMilliseconds));
    parsed.deadline = parsed.arrival + std::chrono::milliseconds(milliseconds);
    parsed.hasCallerDeadline = true;
    return std::nullopt;
}

std::optional<Refusal> readIdempotencyFields(const HttpRequest& request, CallerRequest& parsed)
{
    const auto text = request.fields.find("Idempotency-Key");
    if (request.fields.count("Idempotency-Key") > 1 || text.size() > maxKeyBytes)
        return notRunRefusal(RouterError::MalformedRequest, fmt::format("Idempotency-Key occurs more than once or is longer than {} bytes", maxKeyBytes));
    if (!text.empty())
        parsed.key = IdempotencyKey(std::string(text));
    const auto attempt = request.fields.find("X-Hickory-Attempt");
    parsed.isLabelledRepeat = !attempt.empty() && attempt != "0";
    return std::nullopt;
}

PrefixHash prefixOf(const boost::json::object& body)
{
    std::string text;
    if (const auto* messages = body.if_contains("messages"); messages && messages->is_array() && !messages->get_array().empty())
        text = boost::json::serialize(messages->get_array().front());
    else if (const auto* prompt = body.if_contains("prompt"))
        text = boost::json::serialize(*prompt);
    if (text.empty())
        return {};
    return PrefixHash(XXH64(text.data(), std::min(text.size(), hashedPrefixBytes), 0));
}

std::optional<Refusal> readModelBody(const HttpRequest& request, CallerRequest& parsed)
{
    boost::json::error_code ec;
    const auto body = boost::json::parse(request.body.text(), ec);
    if (ec || !body.is_object())
        return notRunRefusal(RouterError::MalformedRequest, "the body is not a JSON object");
    const auto& object = body.get_object();
    const auto* model = object.if_contains("model");
    if (!model || !model->is_string())
        return notRunRefusal(RouterError::MalformedRequest, "`model` is missing or not a string");
    const ModelId id(std::string(model->get_string()));
    const auto& inventory = parsed.settings->inventory;
    const auto service = inventory.serviceOfModel.find(id);
    if (service == inventory.serviceOfModel.end())
        return notRunRefusal(RouterError::UnknownModel, fmt::format("model `{}`", id.value()));
    const auto* stream = object.if_contains("stream");
    if (stream && !stream->is_bool())
        return notRunRefusal(RouterError::MalformedRequest, "`stream` is not a boolean");
    parsed.service = &inventory.services.at(service->second);
    parsed.pool = PoolId("model:" + id.value());
    parsed.wantsStream = stream && stream->get_bool();
    parsed.prefix = prefixOf(object);
    return std::nullopt;
}

std::optional<Refusal> readPlainService(const HttpRequest& request, CallerRequest& parsed)
{
    const auto path = request.path();
    for (const auto& [id, service] : parsed.settings->inventory.services) {
        if (service.kind != ServiceKind::Plain || !path.starts_with(service.pathPrefix))
            continue;
        const auto rest = path.substr(service.pathPrefix.size());
        if (!rest.empty() && rest.front() != '/' && service.pathPrefix.back() != '/')
            continue;
        parsed.service = &service;
        parsed.pool = PoolId("service:" + id.value());
        const auto isSafe = request.method == "GET" || request.method == "HEAD";
        parsed.mayRunMoreThanOnce = isSafe || !parsed.settings->rules.atMostOnceServices.contains(id);
        return std::nullopt;
    }
    return notRunRefusal(RouterError::UnknownPath, fmt::format("path `{}`", path));
}

std::optional<Refusal> readTarget(const HttpRequest& request, CallerRequest& parsed)
{
    const auto path = request.path();
    const auto isCompletion = path == "/v1/chat/completions" || path == "/v1/completions";
    if (!isCompletion)
        return readPlainService(request, parsed);
    if (request.method != "POST")
        return notRunRefusal(RouterError::MalformedRequest, fmt::format("method {} is not POST", request.method));
    return readModelBody(request, parsed);
}

std::uint64_t fingerprintOf(const HttpRequest& request, const CallerRequest& parsed)
{
    const auto head = fmt::format("{}\n{}\n{}\n{}", parsed.workspace->id.value(), request.method, request.target, parsed.key ? parsed.key->value() : "");
    return XXH64(request.body.text().data(), request.body.size(), XXH64(head.data(), head.size(), 0));
}

} // namespace

const Workspace* findWorkspace(const HttpRequest& request, const Inventory& inventory)
{
    const auto header = request.fields.find("Authorization");
    if (!header.starts_with(bearerPrefix))
        return nullptr;
    // The look-up compares digests, so its timing reveals nothing about a key.
    const auto it = inventory.workspaceByKeyDigest.find(sha256Hex(header.substr(bearerPrefix.size())));
    return it == inventory.workspaceByKeyDigest.end() ? nullptr : &it->second;
}

std::variant<CallerRequest, Refusal> parseCallerRequest(const HttpRequest& request, std::shared_ptr<const RoutingSettings> settings, TimePoint now)
{
    CallerRequest parsed;
    parsed.settings = std::move(settings);
    parsed.arrival = now;
    parsed.workspace = findWorkspace(request, parsed.settings->inventory);
    if (!parsed.workspace)
        return notRunRefusal(RouterError::UnknownWorkspace, {});
    for (const auto step : { readClass, readDeadline, readIdempotencyFields, readTarget }) {
        if (auto refused = step(request, parsed))
            return std::move(*refused);
    }
    parsed.fingerprint = fingerprintOf(request, parsed);
    return parsed;
}

} // namespace HickoryHollow
