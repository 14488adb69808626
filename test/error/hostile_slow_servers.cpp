/** \file
 * Servers that answer without end and slowly, on as many connections as an instance may open: it lives, stays within its memory, and
 * others' requests and streams are whole meanwhile.
 */
#include "test/fakes/DaemonDeployment.h"
#include "test/fakes/HostileCrowd.h"
#include "test/fakes/HostileService.h"
#include "test/fakes/SlowServer.h"

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr std::size_t callers = 1300; // Of 1,367 that the memory is planned for.

std::string fieldsOf(std::size_t n)
{
    std::string fields;
    for (std::size_t i = 0; i < n; ++i)
        fields += "A:\r\n";
    return fields;
}

} // namespace

// Guards against bytes of servers' answers that are held beside the memory for answers, and against a memory for answers that the
// streams of others find used up.
TEST_CASE("servers that send a byte now and then without end leave an instance its memory and others their streams", "[hostile][loopback]")
{
    struct Case {
        std::string name, path, start, piece;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nRunner-Seal: seal\r\n";
    const std::string stream = ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n";
    const std::string event = "data: " + std::string(1UL << 20U, 'x') + "\n\n";
    const auto it = GENERATE_COPY(values<Case>({
        { "a header field", "/f/x", ok + "X: " + std::string(7000, 'x'), "x" },
        { "header fields", "/f/x", ok + fieldsOf(1800), "A:\r\n" },
        { "a body behind many header fields", "/b/x", ok + fieldsOf(1800) + "\r\n", "x" },
        { "a chunk extension", "/f/x", ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(60'000, 'x'), "x" },
        { "trailers", "/f/x", ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(60'000, 'x'), "x" },
        { "a short part of an event", "/f/x", stream + "data: " + std::string(400, 'x'), "x" },
        { "a long part of an event", "/f/x", stream + "data: " + std::string(20'000, 'x'), "x" },
        { "comments behind a long event", "/f/x", stream + event, ": x\n\n" },
        { "a body", "/b/x", ok + "\r\n" + std::string(20'000, 'x'), "x" },
    }));
    CAPTURE(it.name);
    HostileService service;
    SlowServer server(DaemonDeployment::hostileServerPort, it.start, it.piece);
    const DaemonDeployment deployment(service);
    deployment.announce("i-2", DaemonDeployment::address(DaemonDeployment::hostileServerPort), "bad");
    HostileCrowd crowd(DaemonDeployment::callerPort, callers);
    crowd.flood("POST " + it.path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer good-key\r\nAttempt-Id: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "", 0);
    while (server.starts() + crowd.endedCount() < callers)
        std::this_thread::yield();
    CHECK(deployment.isServing());
    const auto answer = call(DaemonDeployment::callerPort, boost::beast::http::verb::post, "/e/x", "body", "good-key");
    CHECK(answer.status == 200);
    CHECK(answer.body.size() > 1UL << 20U);
    CHECK(!deployment.entry->hasExited());
    CHECK(deployment.entry->peakResidentBytes() <= DaemonDeployment::maxResidentBytes);
    CHECK(deployment.entry->openDescriptors() <= DaemonDeployment::maxDescriptors + callers); // Each call has a connection to the server.
    crowd.leave();
    while (deployment.entry->openDescriptors() > DaemonDeployment::maxDescriptors)
        std::this_thread::yield();
    deployment.check();
}
