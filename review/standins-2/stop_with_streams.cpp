// Stops one edge machine with SIGTERM while requesters use the connections that they keep. Most streams of the route are short; some
// that are sent 3.7 to 4.3 s after the SIGTERM are long. No other disturbance.
#include "Common.h"

using namespace Review;

int main(int, char** argv)
{
    scriptStart();
    Record record(argv[1]);
    const auto trouble = hasTrouble();
    Deployment system(record, 2);
    const auto& network = system.network();
    constexpr double grace = 8; // Bound grace-s.
    constexpr int shortTokens = 30;
    constexpr int longTokens = 600;
    constexpr double eventGap = 0.05; // An event holds 5 tokens.

    // A sound runner: an event with 5 tokens each 50 ms until the maximum of Token-Counts is reached.
    std::mutex mutex;
    std::map<std::string, std::string> runs; // By Attempt-Id: how the run went.
    const auto setRun = [&](const std::string& id, const std::string& how) {
        const std::lock_guard lock(mutex);
        runs[id] = how;
    };
    const auto runOf = [&](const std::string& id) {
        const std::lock_guard lock(mutex);
        return runs.count(id) ? runs[id] : std::string();
    };
    const auto serve = [&](Connection& connection) {
        for (;;) {
            const auto message = connection.read(false, 60);
            if (message.method.empty())
                return;
            const auto id = message.field("attempt-id");
            const auto counts = message.field("token-counts");
            const auto events = std::stoi(counts.substr(counts.find(',') + 1)) / 5;
            if (events > shortTokens / 5)
                record.line("runner begins to run %s, Deadline-Ms %s", id.c_str(), message.field("deadline-ms").c_str());
            setRun(id, "at work");
            auto isOpen = connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRunner-Seal: s-" + id + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 1; i <= events && isOpen; ++i) {
                sleepFor(eventGap);
                const auto event = "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + (i == events ? " last" : "") + "\n\n";
                char size[16];
                snprintf(size, sizeof(size), "%zx\r\n", event.size());
                pollfd p { connection.fd(), POLLIN, 0 };
                char byte;
                if (::poll(&p, 1, 0) > 0 && ::recv(connection.fd(), &byte, 1, MSG_PEEK) <= 0)
                    isOpen = false; // A runner drops a request when its connection closes.
                else
                    isOpen = connection.write(size + event + "\r\n" + (i == events ? "0\r\n\r\n" : ""));
            }
            setRun(id, isOpen ? "whole" : "cut by the caller");
            if (events > shortTokens / 5 || !isOpen)
                record.line("runner ends %s: %s", id.c_str(), isOpen ? "whole" : "its connection was closed");
            if (!isOpen)
                return;
        }
    };
    Listener first(system.runnerIp(1), network.servers, serve);
    Listener second(system.runnerIp(2), network.servers, serve);
    if (!first.isOpen() || !second.isOpen())
        return 2;
    system.report(1, "gen", 48);
    system.report(2, "gen", 48);
    const std::string document = "{\"version\":5,\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"path-prefix\":\"/gen/\",\"type\":\"streaming\",\"timeout-ms\":10000,\"slo-ms\":300,\"priority\":0,\"service\":\"gen\",\"max-attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"itl-target-ms\":150}],\"services\":[{\"name\":\"gen\",\"health-path\":\"/healthz\",\"max-conns\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,\"kv-capacity\":444000,\"kv-bytes\":131072,\"link-mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"session-ttl-s\":5.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\"],\"priority\":1}]}";
    if (!system.put(document, 10))
        return 2;
    sleepUntil(8);

    struct Result {
        std::string id;
        double sentAt = 0;
        Message answer;
        double endedAt = 0;
    };
    std::atomic<int> attempts = 0;
    auto& edge = *system.edge[0];
    const auto ask = [&](Connection& connection, int tokens) {
        Result result;
        const auto number = ++attempts;
        result.id = "a" + std::to_string(number);
        char part[64];
        snprintf(part, sizeof(part), "%x:100", 1000 + number);
        const auto fields = "Attempt-Id: " + result.id + "\r\nModel: m\r\nToken-Counts: 100," + std::to_string(tokens) + "\r\nPrefix-Hash: " + part + "\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer key-1\r\n";
        result.sentAt = now();
        connection.write(request("POST", "/gen/x", fields, "prompt", "site.example"));
        result.answer = connection.read(true, 12);
        result.endedAt = now();
        return result;
    };

    // Sixty requesters with a kept connection each; 180 short streams before the stop.
    constexpr int requesters = 60;
    std::vector<std::unique_ptr<Connection>> connections;
    for (int i = 0; i < requesters; ++i) {
        connections.push_back(std::make_unique<Connection>());
        if (!connections.back()->open(edge.ip(), network.callers, 1))
            return 2;
    }
    std::atomic<int> served = 0;
    for (int round = 0; round < 3; ++round) {
        std::vector<std::thread> threads;
        for (int i = 0; i < requesters; ++i) {
            threads.emplace_back([&, i] {
                sleepFor(0.02 * i);
                const auto result = ask(*connections[static_cast<std::size_t>(i)], shortTokens);
                served += result.answer.status == 200 && result.answer.isWhole ? 1 : 0;
            });
        }
        for (auto& it : threads)
            it.join();
    }
    record.line("before the stop: %d of 180 short streams served whole", served.load());
    if (served < 170)
        return 2;

    const auto termAt = now();
    if (trouble) {
        edge.signal(SIGTERM);
        record.line("SIGTERM to %s", edge.name().c_str());
    }
    std::thread stopped([&] {
        const auto end = termAt + grace;
        auto hasEnded = false;
        while (now() < end + 1) {
            if (!hasEnded && !edge.runs()) {
                hasEnded = true;
                record.line("%s has ended %.2f s after the SIGTERM", edge.name().c_str(), now() - termAt);
            }
            if (trouble && now() >= end)
                edge.kill();
            sleepFor(0.02);
        }
    });
    // Each requester uses its connection once more: short streams all the time, long ones from 3.7 to 4.3 s on.
    std::vector<Result> results(requesters);
    std::vector<std::thread> threads;
    for (int i = 0; i < requesters; ++i) {
        threads.emplace_back([&, i] {
            const auto isLong = i >= 54;
            sleepUntil(isLong ? termAt + 3.7 + 0.1 * (i - 54) : termAt + 0.1 * i);
            results[static_cast<std::size_t>(i)] = ask(*connections[static_cast<std::size_t>(i)], isLong ? longTokens : shortTokens);
        });
    }
    for (auto& it : threads)
        it.join();
    stopped.join();

    int broken = 0;
    for (const auto& it : results) {
        const auto run = runOf(it.id);
        const auto isRead = !run.empty(); // It has been passed on to a runner.
        const auto isComplete = it.answer.status > 0 && it.answer.isWhole;
        const auto isBroken = isRead && !isComplete && it.sentAt > termAt + 3 && it.endedAt - it.sentAt < 9.5;
        record.line("%s sent %.2f s after the SIGTERM: %d %s after %.2f s, %zu bytes; at the runner: %s%s", it.id.c_str(), it.sentAt - termAt, it.answer.status, it.answer.isWhole ? "whole" : it.answer.error.c_str(), it.endedAt - it.sentAt, it.answer.body.size(), run.empty() ? "not run" : run.c_str(), isBroken ? "  <- LOST" : "");
        broken += isBroken ? 1 : 0;
    }
    record.line("%d requests were passed on to a runner and their connections ended without a complete answer", broken);
    record.line("exit %d", broken > 0 ? 1 : 0);
    return broken > 0 ? 1 : 0;
}
