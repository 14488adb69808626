/** \file
 * Watches the server of an answer with neither a length nor chunks while the answer is read, and learns behind its end what
 * judgeUnframedEnd() needs.
 */
#pragma once

#include "forwarding/UnframedEnd.h"
#include "net/Task.h"

#include <memory>
#include <string>

namespace HickoryHollow {

class ServerWatch;
class UpstreamClient;

class UnframedAnswer {
public:
    /** The client outlives the answer. `runsSince`: see UpstreamCall::serverRunsSince(). */
    UnframedAnswer(UpstreamClient&, std::string address, std::optional<TimePoint> runsSince);
    /** Sees to it that the server is watched. Call whenever a part of the answer has come. */
    void keepWatching();
    /** Learns the facts behind the end of the answer but for those of a server that leaves; takes a round trip, at most the connect timeout, and 20 ms. */
    Task<UnframedEndFacts> learnFacts();

private:
    static constexpr int maxWatches = 4; // A server without room for connections ends each new one.

    UpstreamClient& m_upstream;
    std::string m_address;
    std::optional<TimePoint> m_runsSince;
    std::shared_ptr<ServerWatch> m_watch; // Null if the server is not watched.
    int m_watches = 0;
};

} // namespace HickoryHollow
