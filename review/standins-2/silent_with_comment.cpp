// A sound runner makes no event for 1.9 s in the middle of a stream and sends a comment meanwhile. The stream is sent to a second
// runner, which makes its first token soon and its first event, of five tokens, 0.8 s after it got the request; the first one keeps the request.
#include "Common.h"

using namespace Review;

namespace {

constexpr int events = 30;
constexpr int silentAfter = 8; // Events.
constexpr double eventGap = 0.05;
constexpr double silence = 1.9; // After the last event.
constexpr double commentAfter = 1.35;
constexpr double prefill = 0.05; // Of a stream that goes on, whose prompt is short.
constexpr double tokenTime = 0.15; // At a busy runner.
constexpr int tokensPerEvent = 5; // Its answer begins with its first event.

struct Run {
    std::string attempt;
    int runner = 0;
    int after = 0; // Last-Event-Id.
    double begin = 0;
    double firstToken = 0; // "A request starts to run with its first token."
    double end = 0; // 0: it goes on.
    std::string how = "at work";
};

bool isClosed(Connection& connection)
{
    pollfd p { connection.fd(), POLLIN, 0 };
    char byte;
    return ::poll(&p, 1, 0) > 0 && ::recv(connection.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/** Works for some time. False if the caller has closed the connection; a runner drops the request then. */
bool work(Connection& connection, double seconds)
{
    const auto until = now() + seconds;
    while (now() < until) {
        if (isClosed(connection))
            return false;
        sleepFor(0.005);
    }
    return true;
}

} // namespace

int main(int, char** argv)
{
    scriptStart();
    Record record(argv[1]);
    const auto trouble = hasTrouble();
    Deployment system(record, 1);
    const auto& network = system.network();
    std::mutex mutex;
    std::vector<Run> runs;
    const auto serve = [&](int runner, Connection& connection) {
        for (;;) {
            const auto message = connection.read(false, 60);
            if (message.method.empty())
                return;
            const auto attempt = message.field("attempt-id");
            const auto after = message.field("last-event-id").empty() ? 0 : std::stoi(message.field("last-event-id"));
            std::size_t index = 0;
            {
                const std::lock_guard lock(mutex);
                index = runs.size();
                runs.push_back({ .attempt = attempt, .runner = runner, .after = after, .begin = now() });
            }
            record.line("runner i-%d begins to work on %s, Last-Event-Id %d", runner, attempt.c_str(), after);
            const auto end = [&](const char* how) {
                {
                    const std::lock_guard lock(mutex);
                    runs[index].end = now();
                    runs[index].how = how;
                }
                record.line("runner i-%d ends %s: %s", runner, attempt.c_str(), how);
            };
            const auto send = [&](const std::string& text, bool isLast = false) {
                char size[16];
                snprintf(size, sizeof(size), "%zx\r\n", text.size());
                return connection.write(size + text + "\r\n" + (isLast ? "0\r\n\r\n" : ""));
            };
            auto isOpen = work(connection, prefill + (after > 0 ? tokenTime : 0));
            if (isOpen) {
                const std::lock_guard lock(mutex);
                runs[index].firstToken = now();
            }
            isOpen = isOpen && work(connection, after > 0 ? (tokensPerEvent - 1) * tokenTime : 0) && connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nRunner-Seal: s-" + std::to_string(runner) + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = after + 1; i <= events && isOpen; ++i) {
                if (trouble && after == 0 && i == silentAfter + 1) {
                    isOpen = work(connection, commentAfter) && send(": still at work\n\n");
                    record.line("runner i-%d sends a comment for %s", runner, attempt.c_str());
                    isOpen = isOpen && work(connection, silence - commentAfter);
                }
                isOpen = isOpen && work(connection, eventGap) && send("id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + (i == events ? " last" : "") + "\n\n", i == events);
            }
            end(isOpen ? "whole" : "its connection was closed");
            if (!isOpen)
                return;
        }
    };
    Listener first(system.runnerIp(1), network.servers, [&](Connection& connection) { serve(1, connection); });
    Listener second(system.runnerIp(2), network.servers, [&](Connection& connection) { serve(2, connection); });
    if (!first.isOpen() || !second.isOpen())
        return 2;
    system.report(1, "gen", 48);
    system.report(2, "gen", 48);
    if (!system.put("{\"version\":5,\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"path-prefix\":\"/gen/\",\"type\":\"streaming\",\"timeout-ms\":10000,\"slo-ms\":300,\"priority\":0,\"service\":\"gen\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"itl-target-ms\":150}],\"services\":[{\"name\":\"gen\",\"health-path\":\"/healthz\",\"max-conns\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,\"kv-capacity\":444000,\"kv-bytes\":131072,\"link-mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"session-ttl-s\":5.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\"],\"priority\":1}]}", 10))
        return 2;
    sleepUntil(8);
    constexpr int streams = 4; // One after the other.
    int served = 0;
    for (int i = 0; i < streams; ++i) {
        const auto id = "a" + std::to_string(i);
        char part[64];
        snprintf(part, sizeof(part), "%x:100", 9000 + 31 * i);
        const auto answer = call(system.edge[0]->ip(), network.callers, "POST", "/gen/x", "Attempt-Id: " + id + "\r\nModel: m\r\nToken-Counts: 100,150\r\nPrefix-Hash: " + part + "\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer key-1\r\n", "prompt", 11, "site.example");
        record.line("requester gets %d %s, %zu bytes for %s", answer.status, answer.isWhole ? "whole" : answer.error.c_str(), answer.body.size(), id.c_str());
        served += answer.status == 200 ? 1 : 0;
        sleepFor(1);
    }
    int broken = 0;
    const std::lock_guard lock(mutex);
    for (const auto& earlier : runs) {
        for (const auto& later : runs) {
            if (later.attempt != earlier.attempt || later.runner == earlier.runner || later.begin <= earlier.begin)
                continue;
            if (later.firstToken == 0)
                continue;
            const auto both = std::min(earlier.end, later.end) - later.firstToken;
            record.line("%s: runner i-%d got it at %.3f s, made its first token at %.3f s and worked until %.3f s, runner i-%d until %.3f s: both for %.0f ms%s", later.attempt.c_str(), later.runner, later.begin, later.firstToken, later.end, earlier.runner, earlier.end, std::max(0.0, both) * 1000, both > 0.4 ? "  <- TWICE" : "");
            broken += both > 0.4 ? 1 : 0;
        }
    }
    const auto code = served == 0 ? 2 : (broken > 0 ? 1 : 0);
    record.line("%d of %d streams at two runners for over 400 ms; exit %d", broken, streams, code);
    return code;
}
