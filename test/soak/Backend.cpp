#include "soak/Backend.h"

#include "http/HttpServer.h"
#include "http/ResponseWriter.h"
#include "net/Timer.h"

#include <algorithm>
#include <fmt/format.h>

namespace HickoryHollow::Soak {

namespace {

constexpr std::chrono::milliseconds workTime { 15 }; // Processing time of a request, and between stream events.
// Equals `config-apply-ms` in the instances' settings: a request that was sent later is not handled by an older version.
constexpr std::chrono::milliseconds configurationDelay { 2000 };
constexpr std::chrono::milliseconds versionedEventTime { 60 }; // Between the events of a stream that names its version.
constexpr std::uint64_t brokenAnswerPercent = 1; // Answers that end early, after the request has run.
constexpr std::uint64_t refusalPercent = 2; // Requests that are refused as not run.
constexpr std::uint64_t retryAfterPercent = 30; // Refusals that ask for no further request for half a second.
constexpr unsigned ok = 200;
constexpr unsigned misdirectedRequest = 421;
constexpr unsigned serviceUnavailable = 503;

/** Between 0.3 and 2.8 s, by the id. */
std::chrono::milliseconds longWorkTime(const std::string& id)
{
    constexpr std::size_t range = 2500;
    return std::chrono::milliseconds(300 + std::hash<std::string>()(id) % range);
}

} // namespace

std::string expectedBody(const std::string& id)
{
    return "for " + id + std::string(id.size() * 37 % 5000, '.') + " end";
}

std::string slowEvent(const std::string& id, std::size_t number, std::size_t bytes)
{
    auto text = fmt::format("id: {}\ndata: {} ", number, id);
    text.resize(bytes - 2, '.');
    return text + "\n\n";
}

std::string expectedSlowStream(const std::string& id, std::size_t eventBytes)
{
    std::string text;
    for (std::size_t event = 1; event <= slowEvents; ++event)
        text += slowEvent(id, event, eventBytes);
    return text;
}

Backend::Backend(Options options, GuaranteeChecker& checker)
    : m_options(std::move(options))
    , m_checker(checker)
    , m_random(m_options.seed)
    , m_server(std::make_unique<HttpServer>(m_loops, *this, HttpServerOptions { .address = m_options.listen }))
    , m_thread([this] { m_loops.run(); })
{
}

Backend::~Backend()
{
    m_loops.stop();
    m_thread.join();
}

std::string Backend::name() const
{
    const std::lock_guard guard(m_mutex);
    return fmt::format("i-{}-{}", m_options.number, m_incarnation);
}

std::string Backend::version() const
{
    return m_options.number % 2 == 0 ? "v1" : "v2";
}

void Backend::beginNewIncarnation()
{
    const std::lock_guard guard(m_mutex);
    ++m_incarnation;
    m_sequence = 0;
    m_isLeaving = false;
    m_arrivals.clear();
}

std::string Backend::heartbeatBody(const std::string& state)
{
    const std::lock_guard guard(m_mutex);
    return fmt::format(R"({{"service":"s","address":"{}","zone":"a","version":"{}","slots":16,"state":"{}","cold-left-ms":0,"seq":{},"born":{}}})", m_options.advertised, version(), state, ++m_sequence, m_incarnation);
}

bool Backend::drawChance(std::uint64_t percent)
{
    const std::lock_guard guard(m_mutex);
    return m_random.below(100) < percent;
}

void Backend::nameLimit(double limit)
{
    const std::lock_guard guard(m_mutex);
    m_limit = limit;
    m_arrivals.clear();
}

void Backend::recordArrival(HttpFields& fields)
{
    const std::lock_guard guard(m_mutex);
    if (!m_limit)
        return;
    m_arrivals.push_back(Clock::now());
    fields.add("Server-Limit", fmt::format("{}", *m_limit));
}

// The bound of the users' rule. It counts the requests of all entry instances, though the rule excuses some.
void Backend::endLimit()
{
    constexpr std::chrono::seconds window { 4 };
    constexpr std::chrono::seconds settlingTime { 3 }; // From the first answer that named the limit.
    const std::lock_guard guard(m_mutex);
    const auto allowed = 1.5 * m_limit.value_or(0) * std::chrono::duration<double>(window).count() + 5;
    m_limit.reset();
    std::ptrdiff_t most = 0;
    for (auto it = m_arrivals.begin(); it != m_arrivals.end(); ++it) {
        if (*it >= m_arrivals.front() + settlingTime)
            most = std::max(most, std::upper_bound(it, m_arrivals.end(), *it + window) - it);
    }
    if (static_cast<double>(most) > allowed)
        m_checker.recordViolation("named limits are kept", fmt::format("backend{} got {} requests in {} s, allowed {}", m_options.number, most, window.count(), allowed));
}

Task<void> Backend::handle(const HttpRequest& request, ResponseWriter& writer)
{
    const std::string id(request.fields.find("Attempt-Id"));
    const auto expected = request.fields.find("Expected-Instance");
    const auto isOtherIncarnation = !expected.empty() && expected != name();
    if (isOtherIncarnation || drawChance(refusalPercent)) {
        HttpResponse response;
        response.status = isOtherIncarnation ? misdirectedRequest : serviceUnavailable;
        response.fields.add("Attempt-Id", id);
        response.fields.add("Not-Executed", "1");
        if (!isOtherIncarnation && drawChance(retryAfterPercent))
            response.fields.add("Retry-After", "0.5");
        if (!isOtherIncarnation && m_isLeaving)
            response.fields.add("Server-Leaving", "1");
        if (!isOtherIncarnation)
            recordArrival(response.fields);
        co_await writer.send(std::move(response));
        co_return;
    }
    const auto path = request.path();
    const auto kind = path.starts_with("/t/") ? RequestKind::Stream : path.starts_with("/r/") ? RequestKind::Repeatable
                                                                                              : RequestKind::Once;
    m_checker.recordExecution(id, kind);
    if (request.body == crashingBody) {
        m_checker.recordCrash(name());
        beginNewIncarnation();
        HttpFields header;
        header.add("Attempt-Id", id);
        header.add("Runner-Seal", "seal-" + id);
        co_await writer.startStream(ok, header);
        writer.abandon();
        co_return;
    }
    if (id.starts_with("f"))
        m_checker.checkRevocableKey(id, configurationDelay);
    if (request.fields.count("Authorization") > 0 || request.fields.find("Tenant").empty())
        m_checker.recordViolation("keys are not forwarded", id + " reached a backend server with its API key or without its workspace");
    HttpFields fields;
    fields.add("Attempt-Id", id);
    fields.add("Runner-Seal", "seal-" + id);
    if (m_isLeaving)
        fields.add("Server-Leaving", "1");
    recordArrival(fields);
    const auto isSlow = path == slowPath || path == slowOncePath;
    if (kind == RequestKind::Stream || isSlow)
        fields.add("Content-Type", "text/event-stream");
    if (isSlow)
        co_await sendSlowStream(request, id, fields, writer);
    else if (kind == RequestKind::Stream)
        co_await sendStream(request, id, fields, writer);
    else
        co_await sendBody(id, request.path().ends_with("/long") ? longWorkTime(id) : workTime, fields, writer);
}

Task<void> Backend::sendBody(const std::string& id, std::chrono::milliseconds work, const HttpFields& fields, ResponseWriter& writer)
{
    Timer pause(m_loops.at(0).get_executor());
    pause.expires_after(work);
    co_await pause.async_wait(asTuple);
    if (drawChance(brokenAnswerPercent)) {
        co_await writer.startStream(ok, fields);
        co_await writer.write("for ");
        writer.abandon();
        co_return;
    }
    HttpResponse response;
    response.status = ok;
    response.fields = fields;
    response.body = expectedBody(id);
    co_await writer.send(std::move(response));
}

Task<void> Backend::sendStream(const HttpRequest& request, const std::string& id, const HttpFields& fields, ResponseWriter& writer)
{
    const std::string last(request.fields.find("Last-Event-Id"));
    const auto isVersioned = request.path() == versionedPath;
    Timer pause(m_loops.at(0).get_executor());
    co_await writer.startStream(ok, fields);
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= eventsPerStream; ++event) {
        pause.expires_after(isVersioned ? versionedEventTime : workTime);
        co_await pause.async_wait(asTuple);
        auto text = fmt::format("id: {}\ndata: {} {}\n\n", event, isVersioned ? version() : id, event);
        const auto isBroken = drawChance(brokenAnswerPercent);
        if (isBroken)
            text.resize(text.size() / 2);
        const auto ec = co_await writer.write(text);
        if (isBroken || ec) {
            writer.abandon();
            co_return;
        }
    }
    co_await writer.finishStream();
}

Task<void> Backend::sendSlowStream(const HttpRequest& request, const std::string& id, const HttpFields& fields, ResponseWriter& writer)
{
    const std::string last(request.fields.find("Last-Event-Id"));
    const auto eventBytes = std::stoull(std::string(request.body.text()));
    const auto isBroken = drawChance(brokenAnswerPercent);
    Timer pause(m_loops.at(0).get_executor());
    co_await writer.startStream(ok, fields);
    for (std::size_t event = last.empty() ? 1 : std::stoull(last) + 1; event <= slowEvents; ++event) {
        pause.expires_after(workTime);
        co_await pause.async_wait(asTuple);
        if (isBroken && event > slowEvents / 2) {
            m_checker.recordAnswer(id, false);
            writer.abandon();
            co_return;
        }
        if (co_await writer.write(slowEvent(id, event, eventBytes))) {
            writer.abandon();
            co_return;
        }
    }
    if (!co_await writer.finishStream())
        m_checker.recordAnswer(id, true);
}

} // namespace HickoryHollow::Soak
