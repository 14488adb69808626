/** \file
 * Case 5: requesters that send bodies of the permitted size at the same time make an entry machine use more memory than it has. The
 * platform kills it, and the requests that it has passed on to a sound server get no answer.
 */
#include "../standins/Caller.h"
#include "../standins/Server.h"

using namespace Review;

namespace {

constexpr Milliseconds timeLimit { 4000 }; // Of the callers, and timeout of the route.
constexpr Milliseconds work { 300 };
constexpr double memoryMb = 110; // Of an entry machine on the sheet of yankov-crests.
constexpr int callerCount = 12;

} // namespace

int main(int argc, char** argv)
{
    const auto hasTrouble = argc > 1 && std::string(argv[1]) == "1";
    Record record(argc > 2 ? argv[2] : "record.txt");
    Deployment deployment({}, record);
    deployment.startAll();
    Server server({ .address = deployment.serverAddress(0), .id = "i-orders-0", .service = "orders", .work = work, .longWork = work }, deployment, record);
    if (!server.isListening() || !deployment.callControl("POST", "/config/replace", desiredState(1, static_cast<int>(timeLimit.count())), std::chrono::seconds(20)) || !deployment.awaitReady(0, std::chrono::seconds(20)))
        return 2;
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const auto entry = deployment.entryName(0);

    // Stand-in for the platform: "A process that uses more than memory-mb is killed."
    std::atomic<bool> isOver = false;
    std::atomic<bool> wasKilled = false;
    double mostMb = 0;
    std::thread platform([&] {
        while (!isOver) {
            const auto used = deployment.residentMb(entry);
            mostMb = std::max(mostMb, used);
            if (used > memoryMb && !wasKilled.exchange(true)) {
                record.line("%s uses %.0f MB, more than its %.0f", entry.c_str(), used, memoryMb);
                deployment.signal(entry, SIGKILL);
            }
            std::this_thread::sleep_for(Milliseconds(2));
        }
    });

    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.push_back(std::make_unique<Caller>(deployment.callerAddress(0)));
    const std::string body(hasTrouble ? maxBodyBytes : 600, 'b');
    std::vector<Outcome> outcomes(callers.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        threads.emplace_back([&, i] {
            // The first request makes it a kept connection.
            const auto id = "order-" + std::to_string(i);
            callers[i]->call("POST", "/u/x", id + "-first", timeLimit, "{}");
            std::this_thread::sleep_for(std::chrono::seconds(2));
            record.line("%s is sent with a body of %zu bytes", id.c_str(), body.size());
            outcomes[i] = callers[i]->call("POST", "/u/x", id, timeLimit, body);
            record.line("%s gets status %d, whole %d, closed %d", id.c_str(), outcomes[i].status, outcomes[i].isWhole, outcomes[i].wasClosed);
        });
    }
    for (auto& it : threads)
        it.join();
    isOver = true;
    platform.join();
    const auto runs = server.runs();
    auto lost = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const auto id = "order-" + std::to_string(i);
        if (!outcomes[i].wasClosed || !runs.contains(id))
            continue;
        ++lost;
        record.line("LOST %s: run by the server, and its connection ended without an answer", id.c_str());
    }
    record.line("%s used %.0f MB at most; killed: %s; %d requests lost", entry.c_str(), mostMb, wasKilled ? "yes" : "no", lost);
    return lost > 3 ? 1 : 0;
}
