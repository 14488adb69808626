/** \file
 * Strangers at the ports between instances and for operators, and servers that answer without end: the processes live, stay within
 * their memory and descriptors, and answer an ordinary request afterwards.
 */
#include "test/fakes/DaemonDeployment.h"
#include "test/fakes/EndlessServer.h"
#include "test/fakes/HostileCrowd.h"
#include "test/fakes/HostileService.h"

#include <fmt/format.h>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

std::string repeated(const std::string& text, std::size_t size = 65536)
{
    std::string filler;
    while (filler.size() < size)
        filler += text;
    return filler;
}

/**
 * A line that begins with the second character of its field and is followed by the first one of the next, so that each read of the
 * client, which has room for this many bytes or a multiple, ends one character into a line: then the parser takes the line before.
 */
std::string lineOf(std::string start)
{
    constexpr std::size_t lineBytes = 512;
    start.resize(lineBytes - 3, 'x');
    return start + "\r\nX";
}

std::string operatorCall(const std::string& path, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string nested(std::size_t levels, const std::string& open, const std::string& close)
{
    return repeated(open, levels * open.size()) + "1" + repeated(close, levels * close.size());
}

/** Several callers send a document to the control port. */
void sendDocument(const std::string& path, const std::string& body)
{
    CAPTURE(path, body.size());
    HostileService service;
    const DaemonDeployment deployment(service);
    HostileCrowd crowd(DaemonDeployment::controlPort, 8);
    crowd.flood(operatorCall(path, body), "", 0);
    deployment.checkBounds();
    crowd.leave();
    deployment.check();
}

} // namespace

// Guards against memory that is taken for a frame because its length says so, before any of it has come and its sender is known.
TEST_CASE("a frame of a stranger takes no memory for what it claims", "[hostile][loopback]")
{
    const auto prefix = GENERATE(as<std::string> {}, std::string("\x0f\xff\xff\xff", 4), std::string("\xff\xff\xff\xff", 4), std::string("\x00\x80\x00\x00", 4));
    CAPTURE(static_cast<int>(prefix[0]));
    HostileService service;
    const DaemonDeployment deployment(service);
    HostileCrowd crowd(DaemonDeployment::linkPort, 24);
    crowd.flood(prefix, repeated("x"), 4UL << 20U);
    deployment.checkBounds();
    crowd.leave();
    deployment.check();
}

TEST_CASE("empty frames without a hello and frames that are no message end the link", "[hostile][loopback]")
{
    const auto filler = GENERATE(as<std::string> {}, std::string(65536, '\0'), std::string("\x00\x00\x00\x04zzzz", 8), std::string("\x00\x00\x00\x08\x1c\x1c\x1c\x1c\x1c\x1c\x1c\x1c", 12));
    HostileService service;
    const DaemonDeployment deployment(service);
    HostileCrowd crowd(DaemonDeployment::linkPort, 24);
    crowd.flood("", filler, 1UL << 20U);
    deployment.checkBounds();
    crowd.leave();
    deployment.check();
}

// Guards against links that stay open without a greeting for as long as their peer sends empty frames.
TEST_CASE("links that are kept open without a greeting leave descriptors and memory for others", "[hostile][loopback]")
{
    constexpr std::size_t links = 2600; // More than the descriptors that the bound permits.
    constexpr std::size_t rounds = 200;
    HostileService service;
    const DaemonDeployment deployment(service);
    HostileCrowd crowd(DaemonDeployment::linkPort, links);
    crowd.flood("", std::string(4, '\0'), 4 * rounds);
    deployment.checkBounds();
    deployment.check();
    crowd.leave();
    deployment.check();
}

TEST_CASE("documents that are nested deeply and long reports of servers are refused", "[hostile][loopback]")
{
    const auto body = GENERATE(as<std::string> {}, nested(1000, "[", "]"), nested(1000, R"({"a":)", "}"), nested(1'000'000, "[", "]"), "{\"routes\":" + nested(5000, "[{\"a\":", "}]") + "}",
        R"({"version":9,"routes":[)" + repeated("{},", 3'000'000) + "{}]}", "[" + repeated("1,", 4'000'000) + "1]", "{" + repeated(R"("a":[],)", 4'000'000) + R"("b":1})");
    const auto path = GENERATE(as<std::string> {}, "/config/replace", "/instances/i-9/heartbeat", "/instances/i-9/deregister");
    constexpr std::size_t longDocument = 2'900'000; // The longer ones as configurations are in the next test.
    if (path == "/config/replace" && body.size() > longDocument)
        return;
    sendDocument(path, body);
}

TEST_CASE("long configurations that are no documents of routes leave a state instance within its memory", "[hostile][loopback]")
{
    sendDocument("/config/replace", GENERATE(as<std::string> {}, R"({"version":9,"routes":[)" + repeated("{},", 3'000'000) + "{}]}", "[" + repeated("1,", 4'000'000) + "1]", "{" + repeated(R"("a":[],)", 4'000'000) + R"("b":1})"));
}

TEST_CASE("the control port bounds what a stranger sends", "[hostile][loopback]")
{
    const auto [start, filler] = GENERATE(table<std::string, std::string>({
        { "POST /config/replace HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", repeated("X-Field: value\r\n") },
        { "POST /config/replace HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", repeated("x") },
    }));
    HostileService service;
    const DaemonDeployment deployment(service);
    HostileCrowd crowd(DaemonDeployment::controlPort, 24);
    crowd.flood(start, filler, 8UL << 20U);
    deployment.checkBounds();
    crowd.leave();
    deployment.check();
}

// Guards against a record for each server that was ever announced, kept by all instances.
TEST_CASE("announcements of servers that do not exist are kept within a bound", "[hostile][loopback]")
{
    constexpr int servers = 40'000;
    HostileService service;
    const DaemonDeployment deployment(service);
    std::string text;
    for (int i = 0; i < servers; ++i) {
        const auto report = fmt::format(R"({{"service":"s{}","address":"127.1.{}.{}:9","zone":"z{}{}","version":"v","slots":4,"state":"ready","cold-left-ms":0,"seq":1,"born":17}})", i, i / 250, i % 250, i, std::string(900, 'z'));
        text += operatorCall(fmt::format("/instances/{}{}/heartbeat", i, std::string(900, 'n')), report);
    }
    HostileCrowd crowd(DaemonDeployment::controlPort, 1);
    crowd.flood(text, "", 0);
    deployment.checkBounds();
    crowd.leave();
    deployment.check();
}

TEST_CASE("answers of servers without end leave an instance within its memory", "[hostile][loopback]")
{
    struct Case {
        std::string name, start, filler;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nRunner-Seal: seal\r\n";
    const std::string stream = ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto path = GENERATE(as<std::string> {}, "/b/x", "/f/x");
    const auto it = GENERATE_COPY(values<Case>({
        { "no status line", "", repeated("x") },
        { "header fields in whole lines", ok + "P: ppppppppp\r\n", repeated("X-Field: value\r\n") },
        { "header fields, a line at a time", lineOf("HTTP/1.1 200 OK\r\nX: "), lineOf(": ") },
        { "interim answers", "", repeated("HTTP/1.1 100 Continue\r\n\r\n") },
        { "a body without a length", ok + "\r\n", repeated("x") },
        { "a body of claimed gigabytes", ok + "Content-Length: 9999999999\r\n\r\n", repeated("x") },
        { "trailers", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", repeated("X-Field: value\r\n") },
        { "chunk extensions", ok + "Transfer-Encoding: chunked\r\n\r\n", repeated("1;" + std::string(8000, 'x') + "\r\na\r\n") },
        { "an event", stream + "ffffffff\r\ndata: ", repeated("x") },
        { "empty events", stream + "ffffffff\r\n", repeated("\n\n") },
        { "comments", stream + "ffffffff\r\n", repeated(": x\n\n") },
        { "event ids", stream + "ffffffff\r\n", repeated("id: 1\n") },
    }));
    CAPTURE(path, it.name);
    HostileService service;
    EndlessServer server(DaemonDeployment::hostileServerPort, it.start, it.filler);
    const DaemonDeployment deployment(service);
    deployment.announce("i-2", DaemonDeployment::address(DaemonDeployment::hostileServerPort), "bad");
    HostileCrowd crowd(DaemonDeployment::callerPort, 12);
    crowd.flood("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer good-key\r\nAttempt-Id: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "", 0);
    crowd.awaitClose();
    deployment.checkBounds();
    crowd.leave();
    deployment.check();
}
