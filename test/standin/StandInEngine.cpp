#include "test/standin/StandInEngine.h"

#include "http/ResponseWriter.h"
#include "http/UpstreamClient.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace HickoryHollow {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds announceInterval { 500 };
constexpr std::size_t maxCachedPrefixes = 32;
constexpr std::uint64_t defaultTokenCount = 16;

std::string stringField(const json::object& object, std::string_view key, std::string fallback = {})
{
    const auto* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::move(fallback);
}

std::int64_t integerField(const json::object& object, std::string_view key, std::int64_t fallback)
{
    const auto* value = object.if_contains(key);
    return value && value->is_int64() ? value->get_int64() : fallback;
}

std::string chunkEvent(std::string_view nonce, std::uint64_t i)
{
    return fmt::format("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}:{} \"}}}}]}}\n\n", nonce, i);
}

std::string completionJson(const std::string& text)
{
    const json::object message { { "role", "assistant" }, { "content", text } };
    return json::serialize(json::object { { "choices", json::array { json::object { { "message", message } } } } });
}

HttpFields streamFields(const HttpRequest& request)
{
    HttpFields fields;
    fields.add("Content-Type", "text/event-stream");
    fields.add("X-Hickory-Attempt-Id", std::string(request.fields.find("X-Hickory-Attempt-Id")));
    return fields;
}

} // namespace

StandInEngine::StandInEngine(asio::io_context& loop, StandInOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_incarnation(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
}

Task<void> StandInEngine::handle(const HttpRequest& request, ResponseWriter& writer)
{
    const auto path = request.path();
    if (path == "/control") {
        co_await writer.send(applyControl(request));
    } else if (path == "/executed") {
        co_await writer.send(executionCounts());
    } else if (m_refusesAsNotRun) {
        auto refused = jsonResponse(503, "{}");
        refused.fields.add("X-Hickory-Verdict", "not-run");
        co_await writer.send(std::move(refused));
    } else if (m_options.models.empty()) {
        co_await handleServiceRequest(request, writer);
    } else {
        co_await handleCompletion(request, writer);
    }
}

Task<void> StandInEngine::sleepFor(std::chrono::microseconds time)
{
    if (time.count() == 0)
        co_return;
    Timer timer(m_loop.get_executor());
    timer.expires_after(time);
    co_await timer.async_wait(asTuple);
}

std::chrono::microseconds StandInEngine::tokenInterval() const
{
    const auto load = static_cast<double>(m_runningRequests) / m_options.slots;
    const auto factor = (1 + m_options.batchSlowdown * load) * m_slowdownFactor;
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(m_options.tokenTime.count()) * factor));
}

Task<void> StandInEngine::waitForSlot(unsigned priority)
{
    if (m_runningRequests < m_options.slots) {
        ++m_runningRequests;
        co_return;
    }
    const auto waiter = std::make_shared<Waiter>(Waiter { .timer = Timer(m_loop.get_executor(), Timer::time_point::max()), .priority = priority });
    const auto position = std::find_if(m_waiters.begin(), m_waiters.end(), [priority](const auto& it) { return it->priority > priority; });
    m_waiters.insert(position, waiter);
    co_await waiter->timer.async_wait(asTuple);
}

void StandInEngine::releaseSlot()
{
    if (m_waiters.empty()) {
        --m_runningRequests;
        return;
    }
    m_waiters.front()->timer.cancel();
    m_waiters.pop_front();
}

bool StandInEngine::touchPrefix(const std::string& prefix)
{
    const auto it = std::find(m_cachedPrefixes.begin(), m_cachedPrefixes.end(), prefix);
    const auto isCached = it != m_cachedPrefixes.end();
    if (isCached)
        m_cachedPrefixes.erase(it);
    m_cachedPrefixes.push_front(prefix);
    if (m_cachedPrefixes.size() > maxCachedPrefixes)
        m_cachedPrefixes.pop_back();
    return isCached;
}

Task<void> StandInEngine::handleCompletion(const HttpRequest& request, ResponseWriter& writer)
{
    const auto body = json::parse(request.body.text()).as_object();
    const auto nonce = stringField(body, "standin_nonce", "w");
    const auto tokens = static_cast<std::uint64_t>(integerField(body, "standin_tokens", defaultTokenCount));
    const auto priorityText = std::string(request.fields.find("X-Hickory-Priority"));
    const auto* stream = body.if_contains("stream");
    const auto isStream = stream && stream->is_bool() && stream->get_bool();
    while (m_withholdsAnswers && !writer.isCallerDisconnected())
        co_await sleepFor(announceInterval);
    co_await waitForSlot(priorityText.empty() ? 1 : static_cast<unsigned>(std::stoul(priorityText)));
    const auto* messages = body.if_contains("messages");
    const auto isCached = messages && messages->is_array() && !messages->get_array().empty() && touchPrefix(json::serialize(messages->get_array().front()));
    auto isDisconnected = false;
    writer.onCallerDisconnect([&isDisconnected] { isDisconnected = true; });
    const auto prefill = m_options.prefillTime / (isCached ? 3 : 1);
    co_await sleepFor(std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(prefill.count()) * m_slowdownFactor)));
    if (isStream && !isDisconnected)
        co_await writer.startStream(200, streamFields(request));
    std::string text;
    std::uint64_t i = 0;
    for (; i < tokens && !isDisconnected && static_cast<std::int64_t>(i) != m_breakAfterTokens; ++i) {
        if (i > 0)
            co_await sleepFor(tokenInterval());
        ++m_generatedTokens;
        text += fmt::format("{}:{} ", nonce, i);
        if (isStream && co_await writer.write(chunkEvent(nonce, i)))
            isDisconnected = true;
    }
    writer.onCallerDisconnect({});
    releaseSlot();
    if (isDisconnected)
        m_abandonedTokens += i;
    if (isDisconnected || i < tokens) {
        writer.abandon();
        co_return;
    }
    if (isStream) {
        co_await writer.write("data: [DONE]\n\n");
        co_await writer.finishStream();
        co_return;
    }
    auto response = jsonResponse(200, completionJson(text));
    response.fields.add("X-Hickory-Attempt-Id", std::string(request.fields.find("X-Hickory-Attempt-Id")));
    co_await writer.send(std::move(response));
}

Task<void> StandInEngine::handleServiceRequest(const HttpRequest& request, ResponseWriter& writer)
{
    const auto key = std::string(request.fields.find("Idempotency-Key"));
    co_await waitForSlot(1);
    const auto n = ++m_executionsByKey[key];
    co_await sleepFor(std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(m_options.tokenTime.count()) * m_slowdownFactor)));
    releaseSlot();
    while (m_withholdsAnswers && !writer.isCallerDisconnected())
        co_await sleepFor(announceInterval);
    co_await writer.send(jsonResponse(200, fmt::format("{{\"key\":\"{}\",\"executions\":{}}}", key, n)));
}

HttpResponse StandInEngine::executionCounts() const
{
    json::object counts;
    for (const auto& [key, n] : m_executionsByKey)
        counts[key] = n;
    return jsonResponse(200, json::serialize(json::object { { "executions", counts }, { "tokens", m_generatedTokens }, { "abandoned_tokens", m_abandonedTokens } }));
}

HttpResponse StandInEngine::applyControl(const HttpRequest& request)
{
    const auto body = json::parse(request.body.text()).as_object();
    m_slowdownFactor = static_cast<double>(integerField(body, "slowness_percent", static_cast<std::int64_t>(m_slowdownFactor * 100))) / 100;
    m_breakAfterTokens = integerField(body, "break_after_tokens", m_breakAfterTokens);
    m_refusesAsNotRun = integerField(body, "refuses", m_refusesAsNotRun) != 0;
    m_withholdsAnswers = integerField(body, "silent", m_withholdsAnswers) != 0;
    m_isLeaving = integerField(body, "leaving", m_isLeaving) != 0;
    return jsonResponse(200, "{}");
}

std::string StandInEngine::announcement()
{
    const auto now = std::chrono::steady_clock::now();
    m_loadHistory.emplace_back(now, m_runningRequests);
    while (m_loadHistory.size() > 1 && now - m_loadHistory[1].first >= m_options.reportLag)
        m_loadHistory.pop_front();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_loadHistory.front().first).count();
    json::array models;
    for (const auto& it : m_options.models)
        models.push_back(json::value(it));
    return json::serialize(json::object {
        { "address", m_options.address },
        { "incarnation", m_incarnation },
        { "sequence", ++m_sequence },
        { "service", m_options.service },
        { "models", models },
        { "failure_domain", m_options.failureDomain },
        { "slots", m_options.slots },
        { "leaving", m_isLeaving },
        { "capabilities", json::object { { "priorities", true }, { "cancel", true } } },
        { "load", json::object { { "running", m_loadHistory.front().second }, { "queued", 0 }, { "age_ms", age } } },
    });
}

Task<void> StandInEngine::announceLoop()
{
    const auto client = makeUpstreamClient(m_loop, {});
    for (std::size_t round = 0; !m_options.announceTo.empty(); ++round) {
        HttpRequest request { .method = "POST", .target = "/v1/backends/announce", .fields = {}, .body = announcement() };
        request.fields.add("Content-Type", "application/json");
        const auto call = client->open(m_options.announceTo[round % m_options.announceTo.size()]);
        const auto head = co_await call->begin(request);
        if (!head.ec)
            co_await call->readChunk();
        co_await sleepFor(announceInterval);
    }
}

} // namespace HickoryHollow
