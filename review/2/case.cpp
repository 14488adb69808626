/** \file
 * Case 2: a planned stop of an entry machine cuts unsafe requests that it accepted more than three seconds after SIGTERM and that
 * a sound server is still running.
 */
#include "../standins/Caller.h"
#include "../standins/Server.h"

using namespace Review;

namespace {

constexpr Milliseconds timeLimit { 4000 }; // Of the callers, and timeout of the route.
constexpr Milliseconds longWork { 2000 }; // Of the requests under test; half of their time limit.
constexpr int requestsUnderTest = 4; // Fewer than the server's slots, so that none is queued.
constexpr double sentAfterTerm = 5.6; // Seconds; later than 3 s after SIGTERM.
constexpr double lossSlack = 0.2;
constexpr double graceSeconds = 8;

/** What is observed of one request under test. */
struct Observed {
    std::string id;
    Outcome outcome;
};

} // namespace

int main(int argc, char** argv)
{
    const auto hasTrouble = argc > 1 && std::string(argv[1]) == "1";
    Record record(argc > 2 ? argv[2] : "record.txt");
    Deployment deployment({}, record);
    deployment.startAll();
    Server server({ .address = deployment.serverAddress(0), .id = "i-orders-0", .service = "orders", .longWork = longWork }, deployment, record);
    if (!server.isListening() || !deployment.callControl("POST", "/config/replace", desiredState(1, static_cast<int>(timeLimit.count())), std::chrono::seconds(20)) || !deployment.awaitReady(0, std::chrono::seconds(20)))
        return 2;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto entry = deployment.entryName(0);

    // Requesters connect while the machine is ready. An open connection stays with its machine.
    std::vector<std::unique_ptr<Caller>> lateCallers;
    std::vector<std::unique_ptr<Caller>> usualCallers;
    const auto connect = [&](auto& callers, const std::string& name, int n) {
        for (int i = 0; i < n; ++i) {
            callers.push_back(std::make_unique<Caller>(deployment.callerAddress(0)));
            if (!callers.back()->isConnected())
                record.line("%s %d is not connected", name.c_str(), i);
        }
    };
    connect(lateCallers, "late caller", requestsUnderTest);
    connect(usualCallers, "usual caller", 30);
    if (usualCallers[0]->call("POST", "/u/x", "warm-up", timeLimit, "{}").status != 200)
        return 2;

    const auto term = Clock::now();
    const auto at = [term](double seconds) { std::this_thread::sleep_until(term + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds))); };
    if (hasTrouble)
        deployment.signal(entry, SIGTERM);
    // One request every 0.4 s from another requester, so that the machine is in use until then.
    std::thread usual([&] {
        for (std::size_t i = 1; i < usualCallers.size() && 0.4 * static_cast<double>(i) < sentAfterTerm; ++i) {
            at(0.4 * static_cast<double>(i));
            const auto id = "usual-" + std::to_string(i);
            const auto outcome = usualCallers[i]->call("POST", "/u/x", id, timeLimit, "{}");
            record.line("%s gets status %d, whole %d", id.c_str(), outcome.status, outcome.isWhole);
        }
    });
    std::vector<Observed> observed(requestsUnderTest);
    std::vector<std::thread> threads;
    at(sentAfterTerm);
    for (int i = 0; i < requestsUnderTest; ++i) {
        threads.emplace_back([&, i] {
            auto& it = observed[static_cast<std::size_t>(i)];
            it.id = "late-" + std::to_string(i);
            record.line("%s is sent", it.id.c_str());
            it.outcome = lateCallers[static_cast<std::size_t>(i)]->call("POST", "/u/long", it.id, timeLimit, "{}");
            record.line("%s gets status %d, whole %d, closed %d, %.3f s after it was sent", it.id.c_str(), it.outcome.status, it.outcome.isWhole, it.outcome.wasClosed, secondsBetween(it.outcome.sentAt, it.outcome.endedAt));
        });
    }
    for (auto& it : threads)
        it.join();
    usual.join();
    while (hasTrouble && !deployment.hasEnded(entry) && secondsBetween(term, Clock::now()) < graceSeconds)
        std::this_thread::sleep_for(Milliseconds(20));

    // The rule excuses a server still at work in the last sixth of the grace time only for requests sent up to 3 s after SIGTERM.
    auto lost = 0;
    const auto runs = server.runs();
    for (const auto& it : observed) {
        const auto& outcome = it.outcome;
        const auto age = secondsBetween(outcome.sentAt, outcome.endedAt);
        const auto ran = runs.contains(it.id);
        if (!outcome.wasClosed || (!ran && age <= lossSlack))
            continue;
        ++lost;
        record.line("LOST %s: sent %.2f s after SIGTERM, cut %.2f s later without an answer, run by the server: %s", it.id.c_str(), secondsBetween(term, outcome.sentAt), age, ran ? "yes" : "no, it was in the server's queue");
    }
    record.line("%d of %d requests were lost", lost, requestsUnderTest);
    return lost > 0 ? 1 : 0;
}
