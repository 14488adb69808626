/** \file
 * Stand-ins for the operator's first desired state and for a requester with a kept connection.
 */
#pragma once

#include "Deployment.h"

namespace Review {

constexpr const char* host = "h.example";
constexpr const char* apiKey = "key-of-tenant-a";

/** Limits of the desired state as in the sheet. */
constexpr int maxBodyBytes = 4194304;

/** A desired state with one service for plain requests: an unsafe route below /u/, a safe one below /s/ and resumable streams below /t/. */
inline std::string desiredState(int version, int timeoutMs)
{
    const auto route = [timeoutMs](const std::string& name, const std::string& type, int attempts) {
        const std::string isStream = type == "streaming" ? "true" : "false";
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path-prefix\":\"/" + name + "/\",\"type\":\"" + type + "\",\"timeout-ms\":" + std::to_string(timeoutMs)
            + ",\"slo-ms\":300,\"priority\":2,\"service\":\"orders\",\"max-attempts\":" + std::to_string(attempts) + ",\"public\":false,\"sticky\":false,\"resumable\":" + isStream
            + (type == "streaming" ? ",\"itl-target-ms\":150}" : "}");
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("u", "unsafe", 1) + "," + route("s", "safe", 2) + "," + route("t", "streaming", 2)
        + "],\"services\":[{\"name\":\"orders\",\"health-path\":\"/healthz\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
          "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
        + std::to_string(maxBodyBytes) + ",\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"tenant-a\",\"api-keys\":[\"" + apiKey + "\"]}]}";
}

/** What a requester saw of one request. */
struct Outcome {
    int status = 0; ///< 0 if no answer came.
    bool isWhole = false;
    bool wasClosed = false; ///< The connection ended before a whole answer, within the time limit.
    Clock::time_point sentAt {}; ///< When the last byte was sent.
    Clock::time_point endedAt {};
    std::string body;
    bool hasSeal = false;
};

/** A requester with one connection, which it keeps for its requests. */
class Caller {
public:
    explicit Caller(const Address& entry)
        : m_socket(connectTo(entry))
    {
    }

    bool isConnected() const { return m_socket.isOpen() && !m_socket.hasPeerClosed(); }

    Outcome call(const std::string& method, const std::string& path, const std::string& id, Milliseconds timeLimit, const std::string& body = {})
    {
        Outcome outcome;
        auto head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(timeLimit.count()) + "\r\nAuthorization: Bearer " + apiKey + "\r\n";
        if (method == "POST")
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        const auto until = Clock::now() + timeLimit;
        const auto isSent = m_socket.isOpen() && m_socket.send(head + "\r\n" + body);
        outcome.sentAt = Clock::now();
        const auto answer = isSent ? m_reader.read(m_socket, until, method != "HEAD") : std::nullopt;
        outcome.endedAt = Clock::now();
        if (answer) {
            outcome.status = answer->status();
            outcome.isWhole = answer->isWhole;
            outcome.body = answer->body;
            outcome.hasSeal = !answer->field("Runner-Seal").empty();
        }
        outcome.wasClosed = !outcome.isWhole && Clock::now() < until;
        return outcome;
    }

    const Socket& socket() const { return m_socket; }
    MessageReader& reader() { return m_reader; }

private:
    Socket m_socket;
    MessageReader m_reader;
};

} // namespace Review
