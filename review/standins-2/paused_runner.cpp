// No case of its own, see review/REPORT-2.md. The only runner of a service pauses for 1.9 s: no event, no connection accepted beyond a
// short queue. Its entry machine passes the silent streams to the other entry machine, which reaches the runner no better.
// First argument: the record. TROUBLE=0: no pause. Exits with 1 if streams were cut.
#include "Common.h"

using namespace Review;

namespace {

constexpr int events = 50;
constexpr double eventGap = 0.08;
constexpr double pauseLength = 1.9;
constexpr int streams = 6;

} // namespace

int main(int, char** argv)
{
    scriptStart();
    Record record(argv[1]);
    Deployment system(record, 2);
    const auto& network = system.network();
    const auto ip = system.runnerIp(1);
    std::atomic<bool> isPaused = false;
    std::atomic<bool> isOver = false;
    const auto awaitEnd = [&] {
        while (isPaused)
            sleepFor(0.005);
    };
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(network.servers));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(fd, 1) != 0)
        return 2;
    const auto serve = [&](int accepted) {
        Connection connection(accepted);
        for (;;) {
            const auto message = connection.read(false, 60);
            if (message.method.empty())
                return;
            awaitEnd();
            const auto id = message.field("attempt-id");
            const auto after = message.field("last-event-id").empty() ? 0 : std::stoi(message.field("last-event-id"));
            record.line("runner runs %s after event %d", id.c_str(), after);
            auto isOpen = connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRunner-Seal: s-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = after + 1; i <= events && isOpen; ++i) {
                sleepFor(eventGap);
                awaitEnd();
                const auto event = "id: " + std::to_string(i) + "\ndata: t" + (i == events ? " last" : "") + "\n\n";
                char size[16];
                snprintf(size, sizeof(size), "%zx\r\n", event.size());
                pollfd p { connection.fd(), POLLIN, 0 };
                char byte;
                isOpen = !(::poll(&p, 1, 0) > 0 && ::recv(connection.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) && connection.write(size + event + "\r\n" + (i == events ? "0\r\n\r\n" : ""));
            }
            record.line("runner ends %s: %s", id.c_str(), isOpen ? "whole" : "its connection was closed");
            if (!isOpen)
                return;
        }
    };
    std::thread accepting([&] {
        while (!isOver) {
            pollfd p { fd, POLLIN, 0 };
            if (isPaused || ::poll(&p, 1, 5) <= 0 || isPaused)
                continue;
            if (const auto accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC); accepted >= 0)
                std::thread(serve, accepted).detach();
        }
    });
    system.report(1, "gen", 48);
    const auto isReady = system.put("{\"version\":5,\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"path-prefix\":\"/gen/\",\"type\":\"streaming\",\"timeout-ms\":10000,\"slo-ms\":300,\"priority\":0,\"service\":\"gen\",\"max-attempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true,\"itl-target-ms\":150}],\"services\":[{\"name\":\"gen\",\"health-path\":\"/healthz\",\"max-conns\":300,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[]}", 10);
    sleepUntil(8);
    std::vector<Message> answers(streams);
    std::vector<std::thread> threads;
    for (int i = 0; i < streams && isReady; ++i) {
        threads.emplace_back([&, i] {
            sleepFor(0.02 * i);
            auto& answer = answers[static_cast<std::size_t>(i)];
            answer = call(system.edge[0]->ip(), network.callers, "POST", "/gen/x", "Attempt-Id: a" + std::to_string(i) + "\r\nModel: m\r\nToken-Counts: 10,250\r\nPrefix-Hash: " + std::to_string(100 + i) + ":10\r\nDeadline-Ms: 10000\r\n", "prompt", 11, "site.example");
            record.line("a%d: %d %s, %zu bytes", i, answer.status, answer.isWhole ? "whole" : answer.error.c_str(), answer.body.size());
        });
    }
    sleepFor(0.8);
    if (hasTrouble()) {
        isPaused = true;
        record.line("runner pauses");
        sleepFor(pauseLength);
        isPaused = false;
        record.line("runner goes on");
    }
    for (auto& it : threads)
        it.join();
    int cut = 0;
    for (const auto& it : answers)
        cut += it.status == 200 && it.isWhole ? 0 : 1;
    isOver = true;
    accepting.join();
    const auto code = !isReady ? 2 : (cut > 0 ? 1 : 0);
    record.line("%d of %d streams cut; exit %d", cut, streams, code);
    std::fflush(nullptr);
    return code;
}
