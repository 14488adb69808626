#include "http/ConnectionWriter.h"

#include "http/HttpMessage.h"
#include "http/HttpServer.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace HickoryHollow {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion11 = 11;

} // namespace

template <typename Message>
void ConnectionWriter::fillHead(Message& message, unsigned status, const HttpFields& fields)
{
    message.version(m_version);
    message.result(status);
    for (const auto& it : fields.all())
        message.set(it.name, it.value);
    // During a drain, the header is the last place to tell the peer that this connection takes no further request. A request
    // that has arrived already would be lost with the connection.
    if (m_isDraining && !m_state->hasFurtherInput())
        m_keepAlive = false;
    message.keep_alive(m_keepAlive);
}

std::error_code ConnectionWriter::recordResult(const boost::system::error_code& ec)
{
    if (ec)
        m_keepAlive = false;
    return ec;
}

Task<std::error_code> ConnectionWriter::send(HttpResponse response)
{
    http::response<http::string_body> message;
    fillHead(message, response.status, response.fields);
    message.body() = std::move(response.body);
    message.prepare_payload();
    m_state->stream.expires_after(m_options.writeTimeout);
    const auto [ec, n] = co_await http::async_write(m_state->stream, message, asTuple);
    co_return recordResult(ec);
}

Task<std::error_code> ConnectionWriter::startStream(unsigned status, const HttpFields& fields)
{
    http::response<http::empty_body> message;
    fillHead(message, status, fields);
    m_isChunked = m_version >= httpVersion11;
    if (m_isChunked)
        message.chunked(true);
    else
        m_keepAlive = false;
    m_isUnfinished = true;
    http::response_serializer<http::empty_body> serializer(message);
    m_state->stream.expires_after(m_options.writeTimeout);
    const auto [ec, n] = co_await http::async_write_header(m_state->stream, serializer, asTuple);
    co_return recordResult(ec);
}

Task<std::error_code> ConnectionWriter::write(std::string_view chunk)
{
    if (chunk.empty())
        co_return std::error_code();
    const asio::const_buffer buf(chunk.data(), chunk.size());
    m_state->stream.expires_after(m_options.writeTimeout);
    if (!m_isChunked) {
        const auto [ec, n] = co_await asio::async_write(m_state->stream, buf, asTuple);
        co_return recordResult(ec);
    }
    const auto [ec, n] = co_await asio::async_write(m_state->stream, http::make_chunk(buf), asTuple);
    co_return recordResult(ec);
}

Task<std::error_code> ConnectionWriter::finishStream()
{
    m_isUnfinished = false;
    if (!m_isChunked)
        co_return std::error_code();
    m_state->stream.expires_after(m_options.writeTimeout);
    const auto [ec, n] = co_await asio::async_write(m_state->stream, http::make_chunk_last(), asTuple);
    co_return recordResult(ec);
}

void ConnectionWriter::onCallerDisconnect(std::function<void()> callback)
{
    m_state->disconnectCallback = std::move(callback);
    if (!m_state->isWatchingPeer && !m_state->isDisconnected)
        watchPeer(m_state);
}

} // namespace HickoryHollow
