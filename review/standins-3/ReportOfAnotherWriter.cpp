/** \file
 * Another writer reports a service that no desired state names, at the addresses of servers that serve. Callers place orders and ask for
 * streams all the while.
 */
#include "Harness.h"

using namespace Review;

namespace {

constexpr int plainServers = 4; // As many as the site has.
constexpr int seconds = 24;
constexpr int requestInterval = 200; // Milliseconds, of each caller.
constexpr double starvedShare = 0.25; // RULES, "Starved".

struct Kind {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
};

} // namespace

int runCaseBody(Deployment& deployment, Record& record)
{
    std::vector<Server*> servers;
    for (int i = 0; i < plainServers; ++i)
        servers.push_back(&startServer(deployment, i, "plain", false));
    for (int i = 0; i < 2; ++i)
        startServer(deployment, plainServers + i, "engines", true);
    if (deployment.replaceConfig(DesiredState().text()) != 200 || !deployment.awaitReady(20))
        return exitNotRun;
    pause(2500);

    std::atomic<bool> isOver = false;
    Kind orders;
    Kind streams;
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            const auto isOrder = i % 2 == 0;
            auto& kind = isOrder ? orders : streams;
            while (!isOver) {
                const auto fields = callerFields(newAttemptId(), "key-of-a");
                const auto answer = isOrder ? call(deployment.callers(i / 2 % 2), "POST /order/1", fields, "one order", 3000)
                                            : call(deployment.callers(i / 2 % 2), "POST /chat/1", fields + "Model: m\r\nToken-Counts: 900,80\r\nPrefix-Hash: a1:800,b2:100\r\n", "", 3000);
                ++kind.sent;
                kind.served += answer.status == 200 ? 1 : 0;
                pause(requestInterval);
            }
        });
    }
    pause(1000);
    record.add("callers: " + std::to_string(orders.served) + " of " + std::to_string(orders.sent) + " orders and " + std::to_string(streams.served) + " of " + std::to_string(streams.sent) + " streams served so far");
    if (hasTrouble()) {
        for (int i = 0; i < plainServers; ++i) {
            const auto born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            const auto report = R"({"service":"another","address":")" + deployment.server(i).text() + R"(","zone":"zone-0","version":"v1","slots":6,"state":"ready","cold-left-ms":0,"seq":1,"born":)" + std::to_string(born) + "}";
            const auto status = call(deployment.control(i % 5), "POST /instances/w-" + std::to_string(i) + "/heartbeat", "Host: control\r\nContent-Type: application/json\r\n", report, 1000).status;
            record.add("disruption: another writer reports the service `another` at the address of server " + servers[static_cast<std::size_t>(i)]->id() + ", status " + std::to_string(status));
        }
    }
    for (int i = 0; i < 4; ++i) {
        pause(seconds * 1000 / 4);
        record.add("callers: " + std::to_string(orders.served) + " of " + std::to_string(orders.sent) + " orders and " + std::to_string(streams.served) + " of " + std::to_string(streams.sent) + " streams served so far");
    }
    isOver = true;
    for (auto& it : callers)
        it.join();
    const auto shareOfOrders = static_cast<double>(orders.served) / std::max(1, orders.sent.load());
    const auto shareOfAll = static_cast<double>(orders.served + streams.served) / std::max(1, orders.sent + streams.sent);
    record.add("result: " + std::to_string(shareOfOrders) + " of the orders were served, and " + std::to_string(shareOfAll) + " of all requests");
    if (shareOfAll < 0.2)
        return exitNotRun;
    return shareOfOrders < starvedShare * shareOfAll ? exitBroken : exitHeld;
}

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, runCaseBody);
}
