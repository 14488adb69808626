/** \file
 * Reads one request of the HTTP server from a connection. Every byte that it keeps is within a limit of the connection, or has room
 * in the budget of the process: a header section, the framing between the parts of a chunked body, its trailers, and the body.
 */
#pragma once

#include "http/BodyBudget.h"
#include "http/ConnectionState.h"
#include "http/HttpMessage.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <vector>

namespace HickoryHollow {

struct HttpLimits;

class RequestReader {
public:
    using Shares = std::vector<std::shared_ptr<BodyBudget::Share>>;

    /** The connection must outlive the reader. A null budget sets no limit. */
    RequestReader(ConnectionState&, const HttpLimits&, BodyBudget*);

    /** Waits for the first byte of the request. Returns false if the connection ends or stays idle for too long. */
    Task<bool> waitForRequest();
    /** Reads the header. Returns http::error::buffer_overflow if there is no room for it in time. */
    Task<boost::system::error_code> readHead();
    /** Reads the body, if there is one. Returns http::error::buffer_overflow if there is no room for it in time. */
    Task<boost::system::error_code> readBody(const BodyTerms&);

    /** The request without its body. Valid after readHead(). */
    HttpRequest request() const;
    bool isDone() const { return m_parser.is_done(); }
    unsigned version() const { return m_parser.get().version(); }
    bool keepAlive() const { return m_parser.keep_alive(); }
    /** Bytes of the body's framing exceeded their limit. */
    bool hasExceededFraming() const { return m_hasExceededFraming; }
    /** The body, with the room that it takes. Its header and trailers are released. Call once, after readBody(). */
    RequestBody takeBody();
    /** Gives back the room, for a request that is refused. */
    void releaseRoom() { m_shares->clear(); }

private:
    Task<bool> takeRoom(std::size_t size, const BodyTerms&);
    Task<bool> takeRoomForHead();
    Task<bool> takeRoomForChunks(bool isStuck, const BodyTerms&);
    Task<boost::system::error_code> readMore();
    std::size_t parse(boost::system::error_code&);
    bool isFramingExceeded(std::size_t parsed, std::size_t sizeBefore) const;

    ConnectionState& m_state;
    const HttpLimits& m_limits;
    BodyBudget* m_budget;
    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
    std::shared_ptr<Shares> m_shares = std::make_shared<Shares>(); // Also owned by the body that was taken.
    std::size_t m_headBytes = 0; // Parsed bytes of the header.
    std::size_t m_headRoom = 0; // Room that the header takes.
    std::size_t m_bodyBytes = 0; // Parsed bytes of the body and its framing.
    bool m_isLarge = false; // There is room for the longest body, or for the length that was announced.
    bool m_hasFramingRoom = false;
    bool m_hasExceededFraming = false;
};

} // namespace HickoryHollow
