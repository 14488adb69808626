/** \file
 * Blocking HTTP/1.1 client with timeouts, for the soak's callers, operator and announcements.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace HickoryHollow::Soak {

struct ClientResponse {
    unsigned status = 0; ///< 0 if no complete response arrived within the timeout.
    std::map<std::string, std::string> fields; ///< Header fields; the names are in lower case.
    std::string body; ///< The part that arrived, if the response is incomplete.
    bool closesConnection = false; ///< True after an error and if the server ends the connection.
    bool wasLeft = false; ///< The client left the answer, as its ReadPace says. The connection is open still, unless a silence was the reason.
};

/** How the bytes of a request are sent. */
struct SendPace {
    bool isChunked = false; ///< The body is sent in chunks, without its length.
    std::size_t pieceBytes = 0; ///< Size of the pieces between which the client pauses; 0 for none.
    std::chrono::milliseconds pause {};
};

/** How an answer is read. */
struct ReadPace {
    std::size_t pieceBytes = 0; ///< Largest size of the pieces between which the client pauses; 0 for no pauses.
    std::chrono::milliseconds pause {};
    std::optional<std::size_t> leaveAfter; ///< Bytes of the body of a successful answer after which the client reads no further.
    std::chrono::milliseconds patience {}; ///< Silence after which the client closes the connection; 0 for none.
};

/** Sends requests one after another over a persistent connection, which it opens when needed. Not thread-safe. */
class BlockingHttpClient {
public:
    /** `address` is `ip:port`; `timeout` bounds each call after connecting. */
    BlockingHttpClient(std::string address, std::chrono::milliseconds timeout);
    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient&) = delete;
    BlockingHttpClient& operator=(const BlockingHttpClient&) = delete;

    /** Connecting takes up to one second, or `timeout` if that is shorter, in addition to the timeout of the call. */
    ClientResponse call(const std::string& method, const std::string& target, const std::map<std::string, std::string>& fields, const std::string& body, const SendPace& = SendPace {}, const ReadPace& = ReadPace {});
    const std::string& address() const { return m_address; }
    void close();

private:
    struct Socket;

    /** Returns false if no connection is established in time. */
    bool connect(const ReadPace&);

    std::string m_address;
    std::chrono::milliseconds m_timeout;
    std::unique_ptr<Socket> m_socket; // Null while there is no connection.
};

} // namespace HickoryHollow::Soak
