#include "soak/StreamServer.h"

#include "net/Timer.h"
#include "soak/StreamConnection.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <vector>

namespace HickoryHollow::Soak {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr int backlog = 128;
constexpr auto announceInterval = 400ms;
constexpr auto waitInterval = 10ms; // Of checks whether a silence has ended.
constexpr std::uint64_t maxFirstPause = 300; // In milliseconds, before the first piece.
constexpr std::uint64_t maxPiecePause = 70;
constexpr std::uint64_t silentPercent = 6; // Runs that fall silent by themselves.
constexpr std::uint64_t brokenPercent = 3;
constexpr std::uint64_t shortestSilence = 500;
constexpr std::uint64_t silenceRange = 2000;
constexpr std::uint64_t maxBatch = 4; // Pieces in one write.

constexpr auto contactTime = 3s; // `contact-ms` of the users' rules.
constexpr auto coldTime = 1500ms; // After a start, the first piece takes longer.
constexpr std::uint64_t maxColdPause = 700;

std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace

/** A run's answer. */
struct StreamServer::Answer {
    enum class Framing { Length,
        Chunks,
        Close };

    /** The bytes that carry this part of the body. */
    std::string framed(const std::string& part) const { return framing == Framing::Chunks ? fmt::format("{:x}\r\n{}\r\n", part.size(), part) : part; }

    std::string attempt;
    std::string stream;
    std::string version;
    std::size_t bytes = 0; // Least size of a piece.
    int after = 0;
    std::size_t run = 0;
    Framing framing = Framing::Chunks;
};

StreamServer::StreamServer(asio::io_context& loop, Options options, StreamLedger& ledger)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_ledger(ledger)
    , m_random(m_options.seed)
    , m_version(m_options.version)
{
}

void StreamServer::start()
{
    {
        const std::lock_guard guard(m_mutex);
        m_bornMilliseconds = std::max(unixMilliseconds(), m_bornMilliseconds + 1);
        m_sequence = 0;
        m_isDown = false;
        m_isLeaving = false;
        m_hasLeft = false;
    }
    m_startedAt = Clock::now();
    m_ledger.recordStart(startName());
    m_acceptor = std::make_unique<Acceptor>(openListener(m_loop, m_options.address));
    asio::co_spawn(m_loop, accept(), asio::detached);
}

std::string StreamServer::name() const
{
    return fmt::format("st-{}-{}", m_options.number, m_life);
}

std::string StreamServer::startName() const
{
    return fmt::format("{}/{}", name(), m_start);
}

StreamServer::Announcement StreamServer::nextAnnouncement()
{
    const std::lock_guard guard(m_mutex);
    if (m_isDown || Clock::now() < m_announcedFrom)
        return {};
    m_announcedFrom = Clock::now() + announceInterval;
    return { .name = name(), .start = startName(), .body = fmt::format(R"({{"service":"{}","address":"{}","zone":"a","version":"{}","slots":64,"state":"{}","cold-left-ms":0,"seq":{},"born":{}}})", m_options.service, m_options.address, m_version, m_isLeaving ? "draining" : "ready", ++m_sequence, m_bornMilliseconds), .isLast = m_hasLeft };
}

void StreamServer::fallSilent(std::chrono::milliseconds length)
{
    m_silentUntil = std::max(m_silentUntil, Clock::now() + length);
}

void StreamServer::stopAccepting(std::chrono::milliseconds length)
{
    if (m_acceptor)
        ::listen(m_acceptor->native_handle(), 0);
    m_acceptsFrom = std::max(m_acceptsFrom, Clock::now() + length);
}

void StreamServer::refuseResumed(std::chrono::milliseconds length)
{
    m_refusesUntil = std::max(m_refusesUntil, Clock::now() + length);
}

bool StreamServer::isAway() const
{
    return m_isDown || m_isLeaving;
}

bool StreamServer::isAccepting() const
{
    return !m_isDown && Clock::now() >= m_acceptsFrom;
}

void StreamServer::crash(Crash crash)
{
    if (crash.version != m_version)
        m_newVersionUntil = Clock::now() + crash.down + crash.unannounced + contactTime;
    {
        const std::lock_guard guard(m_mutex);
        m_isDown = true;
        m_version = std::move(crash.version);
        ++m_start;
    }
    // What waits to be accepted ends with the listener.
    std::vector<std::shared_ptr<StreamConnection>> waiting;
    boost::system::error_code ec;
    for (m_acceptor->non_blocking(true, ec); !ec;) {
        tcp::socket socket(m_loop);
        m_acceptor->accept(socket, ec);
        if (!ec)
            m_connections.push_back(waiting.emplace_back(std::make_shared<StreamConnection>(std::move(socket), m_loop)));
    }
    m_acceptor.reset();
    for (const auto& it : m_connections) {
        const auto connection = it.lock();
        if (!connection)
            continue;
        recordUnread(*connection);
        connection->end(crash.resets);
    }
    m_connections.clear();
    asio::co_spawn(m_loop, comeBack(crash.down, crash.unannounced), asio::detached);
}

void StreamServer::recordUnread(StreamConnection& connection)
{
    if (const auto attempt = connection.unreadAttempt(); !attempt.empty())
        m_ledger.recordEnd(m_ledger.beginRun(attempt, startName(), m_version, false, 0), RunEnd::BrokenOff);
}

Task<void> StreamServer::comeBack(std::chrono::milliseconds down, std::chrono::milliseconds unannounced)
{
    Timer timer(m_loop.get_executor());
    timer.expires_after(down);
    co_await timer.async_wait(asTuple);
    {
        const std::lock_guard guard(m_mutex);
        m_announcedFrom = Clock::now() + unannounced;
    }
    start();
}

void StreamServer::leave(std::chrono::milliseconds serving)
{
    {
        const std::lock_guard guard(m_mutex);
        m_isLeaving = true;
        m_announcedFrom = {};
    }
    asio::co_spawn(m_loop, finishLeaving(serving), asio::detached);
}

Task<void> StreamServer::finishLeaving(std::chrono::milliseconds serving)
{
    Timer timer(m_loop.get_executor());
    for (const auto end = Clock::now() + serving; Clock::now() < end || m_runs > 0;) {
        timer.expires_after(waitInterval);
        co_await timer.async_wait(asTuple);
    }
    {
        const std::lock_guard guard(m_mutex);
        m_hasLeft = true;
        m_announcedFrom = {};
    }
    timer.expires_after(1s); // The last announcement is on its way.
    co_await timer.async_wait(asTuple);
    while (m_runs > 0) {
        timer.expires_after(waitInterval);
        co_await timer.async_wait(asTuple);
    }
    const auto version = m_version;
    {
        const std::lock_guard guard(m_mutex);
        ++m_life;
    }
    crash({ .down = 500ms, .version = version });
}

Task<void> StreamServer::accept()
{
    // Another start has an acceptor of its own.
    auto* const acceptor = m_acceptor.get();
    const auto start = m_start;
    Timer timer(m_loop.get_executor());
    for (;;) {
        auto [ec, socket] = co_await acceptor->async_accept(asTuple);
        if (ec)
            co_return;
        auto connection = std::make_shared<StreamConnection>(std::move(socket), m_loop);
        if (start != m_start) {
            recordUnread(*connection);
            co_return;
        }
        m_connections.remove_if([](const auto& it) { return it.expired(); });
        m_connections.push_back(connection);
        if (Clock::now() < m_acceptsFrom) {
            while (Clock::now() < m_acceptsFrom && start == m_start) {
                timer.expires_after(waitInterval);
                co_await timer.async_wait(asTuple);
            }
            if (start != m_start)
                co_return;
            ::listen(acceptor->native_handle(), backlog);
        }
        asio::co_spawn(m_loop, serve(std::move(connection)), asio::detached);
    }
}

Task<void> StreamServer::serve(std::shared_ptr<StreamConnection> connection)
{
    for (auto isUsable = true; isUsable;) {
        http::request<http::string_body> request;
        const auto [ec, n] = co_await http::async_read(connection->socket, connection->buf, request, asTuple);
        // What was closed while it waited to be read does not run.
        if (ec || connection->isClosedByPeer())
            break;
        if (request.method() == http::verb::get) {
            const auto text = fmt::format("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 2\r\n\r\n{{}}", name());
            const auto [writeEc, written] = co_await asio::async_write(connection->socket, asio::buffer(text), asTuple);
            isUsable = !writeEc;
            continue;
        }
        const std::string attempt(request["Attempt-Id"]);
        const std::string expected(request["Expected-Instance"]);
        const std::string last(request["Last-Event-Id"]);
        if (!expected.empty() && expected != name())
            isUsable = co_await refuse(*connection, attempt, 421);
        else if (m_hasLeft || (!last.empty() && Clock::now() < m_refusesUntil))
            isUsable = co_await refuse(*connection, attempt, 503);
        else
            isUsable = co_await handle(connection, attempt, last, request.body());
    }
}

Task<bool> StreamServer::refuse(StreamConnection& connection, const std::string& attempt, unsigned status)
{
    m_ledger.recordRefusal(attempt, startName(), status);
    const auto text = fmt::format("HTTP/1.1 {} Refused\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\n{}Content-Length: 0\r\n\r\n", status, attempt, m_isLeaving ? "Server-Leaving: 1\r\n" : "");
    const auto [ec, n] = co_await asio::async_write(connection.socket, asio::buffer(text), asTuple);
    co_return !ec;
}

Task<void> StreamServer::watch(std::shared_ptr<StreamConnection> connection, std::size_t run)
{
    const auto [ec] = co_await connection->socket.async_wait(tcp::socket::wait_read, asTuple);
    if (ec || !connection->isClosedByPeer())
        co_return;
    m_ledger.recordEnd(run, RunEnd::Left);
    connection->hasEnded = true;
    connection->timer.cancel();
}

Task<bool> StreamServer::pause(StreamConnection& connection, std::size_t run, std::chrono::milliseconds length)
{
    auto isNoted = false;
    for (const auto end = Clock::now() + length; !connection.hasEnded && Clock::now() < std::max(end, m_silentUntil);) {
        const auto now = Clock::now();
        if (m_silentUntil > std::max(now, end) && !std::exchange(isNoted, true))
            m_ledger.recordSilence(run, std::chrono::duration_cast<std::chrono::milliseconds>(m_silentUntil - now));
        connection.timer.expires_at(std::max(end, std::min(m_silentUntil, now + waitInterval)));
        co_await connection.timer.async_wait(asTuple);
    }
    co_return !connection.hasEnded;
}

Task<bool> StreamServer::handle(std::shared_ptr<StreamConnection> connection, const std::string& attempt, const std::string& lastId, const std::string& body)
{
    const auto space = body.find(' ');
    Answer answer { .attempt = attempt, .stream = body.substr(0, space), .version = m_version, .bytes = std::stoull(body.substr(space + 1)), .after = lastId.empty() ? 0 : std::stoi(lastId), .framing = static_cast<Answer::Framing>(m_random.below(3)) };
    answer.run = m_ledger.beginRun(attempt, startName(), answer.version, Clock::now() < m_newVersionUntil, answer.after);
    if (answer.framing == Answer::Framing::Close)
        m_ledger.recordUnframed(answer.run);
    const auto start = m_start;
    ++m_runs;
    asio::co_spawn(m_loop, watch(connection, answer.run), asio::detached);
    const auto isUsable = co_await runStream(connection, answer);
    --m_runs;
    // A crash resets connections, and is the server's doing.
    m_ledger.recordEnd(answer.run, start != m_start ? RunEnd::BrokenOff : RunEnd::Left);
    boost::system::error_code ignored;
    connection->socket.cancel(ignored);
    co_return isUsable;
}

Task<bool> StreamServer::runStream(std::shared_ptr<StreamConnection> connection, Answer& answer)
{
    const auto write = [&](std::string text) -> Task<bool> {
        const auto [ec, n] = co_await asio::async_write(connection->socket, asio::buffer(text), asTuple);
        co_return !ec && !connection->hasEnded;
    };
    std::string whole;
    for (auto piece = answer.after + 1; piece <= piecesPerStream; ++piece)
        whole += streamPiece(answer.stream, answer.version, piece, answer.bytes);
    auto head = fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nRunner-Seal: seal-{}\r\nContent-Type: text/event-stream\r\n{}", answer.attempt, answer.attempt, m_isLeaving ? "Server-Leaving: 1\r\n" : "");
    if (answer.framing == Answer::Framing::Length)
        head += fmt::format("Content-Length: {}\r\n", whole.size());
    head += answer.framing == Answer::Framing::Chunks ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    const auto silentAt = m_random.below(100) < silentPercent ? static_cast<int>(m_random.below(piecesPerStream)) + 1 : 0;
    const auto brokenAt = m_random.below(100) < brokenPercent ? static_cast<int>(m_random.below(piecesPerStream)) + 1 : 0;
    // Sometimes with the first piece.
    if (m_random.below(2) == 0) {
        if (!co_await write(std::exchange(head, {})))
            co_return false;
    }
    auto length = std::chrono::milliseconds(m_random.below(Clock::now() < m_startedAt + coldTime ? maxColdPause : maxFirstPause));
    for (auto piece = answer.after + 1; piece <= piecesPerStream;) {
        const auto last = std::min(piecesPerStream, piece + static_cast<int>(m_random.below(maxBatch)));
        if (piece <= silentAt && silentAt <= last) {
            length = std::chrono::milliseconds(shortestSilence + m_random.below(silenceRange));
            m_ledger.recordSilence(answer.run, length);
        }
        if (!co_await pause(*connection, answer.run, length))
            co_return false;
        std::string text;
        for (auto it = piece; it <= last; ++it)
            text += streamPiece(answer.stream, answer.version, it, answer.bytes);
        if (piece <= brokenAt && brokenAt <= last) {
            m_ledger.recordEnd(answer.run, RunEnd::BrokenOff);
            co_await write(head + answer.framed(text.substr(0, text.size() - streamPiece(answer.stream, answer.version, last, answer.bytes).size() / 2)));
            if (m_random.below(2) == 0)
                connection->end(true);
            co_return false;
        }
        // In one write, or cut anywhere.
        const auto cutAt = m_random.below(2) == 0 ? 1 + m_random.below(text.size() - 1) : text.size();
        if (!co_await write(std::exchange(head, {}) + answer.framed(text.substr(0, cutAt))))
            co_return false;
        if (cutAt < text.size()) {
            if (!co_await pause(*connection, answer.run, std::chrono::milliseconds(m_random.below(20))) || !co_await write(answer.framed(text.substr(cutAt))))
                co_return false;
        }
        m_ledger.recordWritten(answer.run, last);
        piece = last + 1;
        length = std::chrono::milliseconds(m_random.below(maxPiecePause));
    }
    if (!co_await write(head + (answer.framing == Answer::Framing::Chunks ? "0\r\n\r\n" : "")))
        co_return false;
    m_ledger.recordEnd(answer.run, RunEnd::Whole);
    co_return answer.framing != Answer::Framing::Close;
}

} // namespace HickoryHollow::Soak
