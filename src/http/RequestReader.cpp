#include "http/RequestReader.h"

#include "http/HttpServer.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iterator>

namespace HickoryHollow {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t firstReadBytes = 4096; // Large enough for the header of most requests.
constexpr std::size_t firstChunkedBytes = 16UL << 10U; // Room for a chunked body until it turns out to be longer.
// Framing per byte of a chunked body, beyond HttpLimits::framingBytes. A body of one-byte chunks has 5.
constexpr std::size_t framingPerBodyByte = 16;
// A parsed field takes its node in the parser and two strings in the request, whatever its size: worked out, not measured.
constexpr std::size_t bytesPerField = 192;
constexpr std::size_t usualFields = 64; // The fields of more take room of their own.

/** Describes why two parsers could disagree on where the message ends (request smuggling); empty for a valid message. */
template <typename Message>
std::string_view findFramingError(const Message& message)
{
    const auto encodings = message.count(http::field::transfer_encoding);
    const auto lengths = message.count(http::field::content_length);
    if (encodings > 0 && lengths > 0)
        return "both Content-Length and Transfer-Encoding are present";
    if (encodings > 1 || lengths > 1)
        return "Content-Length or Transfer-Encoding appears more than once";
    const std::string_view length = message[http::field::content_length];
    if (length.find_first_not_of("0123456789") != std::string_view::npos)
        return "Content-Length is not a decimal number";
    if (encodings == 1 && !beast::iequals(message[http::field::transfer_encoding], "chunked"))
        return "Transfer-Encoding is not `chunked`";
    if (encodings == 1 && message.version() < 11)
        return "Transfer-Encoding is present in an HTTP/1.0 request";
    if (message.version() >= 11 && message.count(http::field::host) != 1)
        return "the number of Host fields is not one";
    return {};
}

} // namespace

RequestReader::RequestReader(ConnectionState& state, const HttpLimits& limits, BodyBudget* budget)
    : m_state(state)
    , m_limits(limits)
    , m_budget(budget)
{
    m_parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser.body_limit(limits.bodyBytes);
    m_parser.eager(false);
}

Task<bool> RequestReader::waitForRequest()
{
    auto& buf = m_state.buf;
    if (buf.size() > 0)
        co_return true;
    for (;;) {
        m_state.stream.expires_after(m_limits.idleTimeout);
        const auto [ec, n] = co_await m_state.stream.async_read_some(buf.prepare(firstReadBytes), asTuple);
        buf.commit(n);
        // closeIdleConnections() may cancel the wait when a request has arrived and has not been read yet.
        if (ec != asio::error::operation_aborted || !m_state.hasFurtherInput())
            co_return !ec;
    }
}

// Takes room for a body of this size, or returns false. An unlimited budget has room for all.
Task<bool> RequestReader::takeRoom(std::size_t size, const BodyTerms& terms)
{
    if (!m_budget)
        co_return true;
    auto share = co_await m_budget->reserve(size, terms);
    const auto hasRoom = share != nullptr;
    if (hasRoom)
        m_shares->push_back(std::move(share));
    co_return hasRoom;
}

// A header that does not fit the first read takes room like a small body, so that many of them don't fill the memory; one with many
// fields takes more, because its fields take more memory than its bytes.
Task<bool> RequestReader::takeRoomForHead()
{
    constexpr std::size_t copiesOfHead = 3; // The buffer, the parsed fields and those of the request.
    const auto step = std::min(copiesOfHead * m_limits.headerBytes, BodyBudget::maxSmallBody);
    const auto& fields = m_parser.get();
    const auto n = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    const auto isLong = m_headRoom > 0 || (!m_parser.is_header_done() && m_headBytes + m_state.buf.size() >= firstReadBytes);
    const auto needed = (isLong ? step : 0) + (n > usualFields ? n * bytesPerField : 0);
    const BodyTerms terms;
    while (m_headRoom < needed) {
        const auto hasRoom = co_await takeRoom(step, terms);
        if (!hasRoom)
            co_return false;
        m_headRoom += step;
    }
    co_return true;
}

// Parses what has been read. Returns the number of bytes that were taken from the buffer.
std::size_t RequestReader::parse(boost::system::error_code& ec)
{
    const auto n = m_parser.put(m_state.buf.data(), ec);
    m_state.buf.consume(n);
    if (ec == http::error::need_more)
        ec = {};
    return n;
}

Task<boost::system::error_code> RequestReader::readMore()
{
    const auto [ec, n] = co_await m_state.stream.async_read_some(m_state.buf.prepare(firstReadBytes), asTuple);
    m_state.buf.commit(n);
    co_return ec;
}

Task<boost::system::error_code> RequestReader::readHead()
{
    const auto end = monotonicNow() + m_limits.headerTimeout;
    for (;;) {
        boost::system::error_code ec;
        m_headBytes += parse(ec);
        if (ec)
            co_return ec;
        // The parser's own limit is for the bytes that it is given at once, so that it never sees the end of many short reads.
        if (m_headBytes + (m_parser.is_header_done() ? 0 : m_state.buf.size()) > m_limits.headerBytes)
            co_return make_error_code(http::error::header_limit);
        const auto hasRoom = co_await takeRoomForHead();
        if (!hasRoom)
            co_return make_error_code(http::error::buffer_overflow);
        if (m_parser.is_header_done())
            co_return findFramingError(m_parser.get()).empty() ? boost::system::error_code() : make_error_code(http::error::bad_transfer_encoding);
        m_state.stream.expires_after(std::max(end - monotonicNow(), Duration::zero()));
        ec = co_await readMore();
        if (ec)
            co_return ec;
    }
}

// How long a chunked body becomes is not known, so a long one needs room for the longest. Its framing that does not fit the buffer
// of a usual read needs room as well: `isStuck` if the parser could take nothing from the buffer.
Task<bool> RequestReader::takeRoomForChunks(bool isStuck, const BodyTerms& terms)
{
    if (isStuck && !m_hasFramingRoom && m_state.buf.size() >= firstReadBytes) {
        m_hasFramingRoom = co_await takeRoom(std::min(4 * m_limits.framingBytes, BodyBudget::maxSmallBody), terms);
        if (!m_hasFramingRoom)
            co_return false;
        m_state.stream.expires_after(m_limits.idleTimeout);
    }
    if (!m_isLarge && m_parser.get().body().size() > firstChunkedBytes) {
        m_isLarge = co_await takeRoom(m_limits.bodyBytes, terms);
        if (!m_isLarge)
            co_return false;
        m_parser.get().body().reserve(m_limits.bodyBytes);
        m_state.stream.expires_after(m_limits.idleTimeout);
    }
    co_return true;
}

// `parsed` is what the last call of the parser took, which is at most one piece of framing or a part of one chunk's content. A piece
// that one read completed is compared with the limit as well, so that it does not matter how its bytes were split into reads.
bool RequestReader::isFramingExceeded(std::size_t parsed, std::size_t sizeBefore) const
{
    const auto size = m_parser.get().body().size();
    const auto maxPiece = m_limits.framingBytes + firstReadBytes;
    if (m_state.buf.size() > maxPiece || parsed - (size - sizeBefore) > maxPiece)
        return true;
    return !m_parser.is_done() && m_bodyBytes - size > m_limits.framingBytes + framingPerBodyByte * size;
}

// Reads the body into one string that is not moved as it grows. Its room is taken before its bytes are read, so that what does not
// fit stays with the sender.
Task<boost::system::error_code> RequestReader::readBody(const BodyTerms& terms)
{
    const auto length = m_parser.content_length();
    const auto isGranted = co_await takeRoom(length ? static_cast<std::size_t>(*length) : firstChunkedBytes, terms);
    if (!isGranted)
        co_return make_error_code(http::error::buffer_overflow);
    if (beast::iequals(m_parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> message { http::status::continue_, m_parser.get().version() };
        co_await http::async_write(m_state.stream, message, asTuple);
    }
    if (!length)
        m_parser.get().body().reserve(2 * firstChunkedBytes);
    m_isLarge = length.has_value();
    m_state.stream.expires_after(m_limits.idleTimeout);
    while (!m_parser.is_done()) {
        boost::system::error_code ec;
        const auto sizeBefore = m_parser.get().body().size();
        const auto n = m_state.buf.size() > 0 ? parse(ec) : 0;
        if (ec)
            co_return ec;
        m_bodyBytes += n;
        m_hasExceededFraming = !length && isFramingExceeded(n, sizeBefore);
        if (m_hasExceededFraming)
            co_return make_error_code(http::error::header_limit);
        const auto hasRoom = length || co_await takeRoomForChunks(n == 0, terms);
        if (!hasRoom)
            co_return make_error_code(http::error::buffer_overflow);
        if (n > 0 || m_parser.is_done())
            continue;
        ec = co_await readMore();
        if (ec)
            co_return ec;
    }
    co_return boost::system::error_code();
}

HttpRequest RequestReader::request() const
{
    const auto& message = m_parser.get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& it : message)
        request.fields.add(std::string(it.name_string()), std::string(it.value()));
    return request;
}

RequestBody RequestReader::takeBody()
{
    auto& message = m_parser.get();
    static_cast<http::fields&>(message).clear();
    if (message.body().empty())
        return {};
    return { std::move(message.body()), m_shares };
}

} // namespace HickoryHollow
