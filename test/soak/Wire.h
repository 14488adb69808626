/** \file
 * HTTP as the soak's callers, operator and backend servers speak it: blocking, with a limit on each wait.
 */
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace HickoryHollow::Soak {

struct WireAnswer {
    unsigned status = 0; ///< 0: no whole answer came.
    std::map<std::string, std::string> fields; ///< Names in small letters.
    std::string body; ///< Whole, or what came of it.
    bool closes = false;
};

/** A connection that is kept as long as both sides keep it. */
class WireClient {
public:
    WireClient(std::string address, std::chrono::milliseconds patience);
    ~WireClient();
    WireClient(const WireClient&) = delete;
    WireClient& operator=(const WireClient&) = delete;

    WireAnswer call(const std::string& method, const std::string& target, const std::map<std::string, std::string>& fields, const std::string& body);
    const std::string& address() const { return m_address; }
    void close();

private:
    struct Socket;

    bool connect();

    std::string m_address;
    std::chrono::milliseconds m_patience;
    std::unique_ptr<Socket> m_socket; // Null without a connection.
};

} // namespace HickoryHollow::Soak
