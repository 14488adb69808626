#include "soak/Backend.h"

#include "http/HttpServer.h"
#include "http/ResponseWriter.h"
#include "net/Timer.h"

#include <fmt/format.h>

namespace HickoryHollow::Soak {

namespace {

constexpr std::chrono::milliseconds work { 15 }; // Of a request, and between two events.
constexpr std::chrono::milliseconds keyBound { 5000 }; // The settings' key lease.
constexpr std::uint64_t percentLost = 1; // Answers that break off after the run.
constexpr std::uint64_t percentRejected = 2; // Not run, and said so.
constexpr unsigned ok = 200;
constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;

} // namespace

std::string wholeBody(const std::string& id)
{
    return "for " + id + std::string(id.size() * 37 % 5000, '.') + " end";
}

Backend::Backend(Options options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
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
    return fmt::format("i-{}-{}", m_options.number, m_start);
}

void Backend::startAnew()
{
    const std::lock_guard guard(m_mutex);
    ++m_start;
    m_sequence = 0;
    m_isLeaving = false;
}

std::string Backend::report(const std::string& state)
{
    const std::lock_guard guard(m_mutex);
    return fmt::format(R"({{"service":"s","address":"{}","zone":"a","version":"v1","slots":16,"state":"{}","cold-left-ms":0,"seq":{},"born":{}}})", m_options.announced, state, ++m_sequence, m_start);
}

bool Backend::isLucky(std::uint64_t percent)
{
    const std::lock_guard guard(m_mutex);
    return m_random.below(100) < percent;
}

Task<void> Backend::handle(const HttpRequest& request, ResponseWriter& writer)
{
    const std::string id(request.fields.find("Attempt-Id"));
    const auto expected = request.fields.find("Expected-Instance");
    const auto isOther = !expected.empty() && expected != name();
    if (isOther || isLucky(percentRejected)) {
        HttpResponse response;
        response.status = isOther ? misdirected : unavailable;
        response.fields.add("Attempt-Id", id);
        response.fields.add("Not-Executed", "1");
        co_await writer.send(std::move(response));
        co_return;
    }
    const auto path = request.path();
    const auto kind = path.starts_with("/t/") ? Kind::Stream : path.starts_with("/r/") ? Kind::Repeatable
                                                                                       : Kind::Once;
    m_record.ran(id, kind);
    if (id.starts_with("f"))
        m_record.ranWithKey(id, keyBound);
    if (request.fields.count("Authorization") > 0 || request.fields.find("Tenant").empty())
        m_record.broken("keys stay here", id + " came with its key or without its workspace");
    HttpFields fields;
    fields.add("Attempt-Id", id);
    fields.add("Runner-Seal", "seal-" + id);
    if (kind == Kind::Stream)
        fields.add("Content-Type", "text/event-stream");
    if (kind == Kind::Stream)
        co_await answerStream(request, id, fields, writer);
    else
        co_await answerWhole(id, fields, writer);
}

Task<void> Backend::answerWhole(const std::string& id, const HttpFields& fields, ResponseWriter& writer)
{
    Timer pause(m_loops.at(0).get_executor());
    pause.expires_after(work);
    co_await pause.async_wait(asTuple);
    if (isLucky(percentLost)) {
        co_await writer.startStream(ok, fields);
        co_await writer.write("for ");
        writer.abandon();
        co_return;
    }
    HttpResponse response;
    response.status = ok;
    response.fields = fields;
    response.body = wholeBody(id);
    co_await writer.send(std::move(response));
}

Task<void> Backend::answerStream(const HttpRequest& request, const std::string& id, const HttpFields& fields, ResponseWriter& writer)
{
    const std::string last(request.fields.find("Last-Event-Id"));
    Timer pause(m_loops.at(0).get_executor());
    co_await writer.startStream(ok, fields);
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= eventsOfStream; ++event) {
        pause.expires_after(work);
        co_await pause.async_wait(asTuple);
        auto text = fmt::format("id: {}\ndata: {} {}\n\n", event, id, event);
        const auto breaks = isLucky(percentLost);
        if (breaks)
            text.resize(text.size() / 2);
        const auto ec = co_await writer.write(text);
        if (breaks || ec) {
            writer.abandon();
            co_return;
        }
    }
    co_await writer.finishStream();
}

} // namespace HickoryHollow::Soak
