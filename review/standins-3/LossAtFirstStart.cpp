/** \file
 * The whole system starts for the first time, and in the first moments one core machine is lost for good and replaced.
 */
#include "Harness.h"

using namespace Review;

namespace {

constexpr int lostAfter = 300; // Milliseconds. All machines "start within 0.3 s of each other".
constexpr int operatorSeconds = 45;

} // namespace

int runCaseBody(Deployment& deployment, Record& record)
{
    record.add("platform: all machines are started for the first time, with first-start = true");
    if (hasTrouble()) {
        pause(lostAfter);
        deployment.replaceState(1);
    }
    std::atomic<int> runs = 0;
    const auto onRun = [&](const Server&, const Server::Request&) { ++runs; };
    startServer(deployment, 0, "plain", false, onRun);
    startServer(deployment, 1, "engines", true, onRun);
    const auto begin = Clock::now();
    const auto status = deployment.replaceConfig(DesiredState().text(), operatorSeconds);
    record.add("operator: version 1, sent to one machine of the core after the other for " + std::to_string(std::chrono::duration_cast<milliseconds>(Clock::now() - begin).count()) + " ms, status " + std::to_string(status) + " (0: no clear answer)");
    if (status == 200)
        deployment.awaitReady(20);
    pause(2000);
    int served = 0;
    constexpr int requests = 20;
    std::map<int, int> statuses;
    for (int i = 0; i < requests; ++i) {
        const auto answer = call(deployment.callers(i % 2), "POST /order/1", callerFields(newAttemptId(), "key-of-a"), "one order", 3000);
        served += answer.status == 200 ? 1 : 0;
        ++statuses[answer.status];
        pause(100);
    }
    for (const auto& [code, n] : statuses)
        record.add("callers: " + std::to_string(n) + " of " + std::to_string(requests) + " requests got status " + std::to_string(code));
    record.add("result: " + std::to_string(served) + " of " + std::to_string(requests) + " requests served, " + std::to_string(runs) + " run");
    return served == 0 ? exitBroken : exitHeld;
}

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, runCaseBody);
}
