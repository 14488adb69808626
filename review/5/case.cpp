/** \file
 * Case 5: one of five state machines, two of which may be lost at once, is lost during the first start. The others never form the
 * replicated state, so no desired state is ever acknowledged and no request is served.
 */
#include "../standins/Caller.h"
#include "../standins/Server.h"

using namespace Review;

namespace {

constexpr Milliseconds timeLimit { 4000 };
constexpr Milliseconds lostAfter { 100 }; // From the start of the machines.
constexpr std::chrono::seconds contact { 3 }; // `contact-ms`: after this time without an event the core counts as stable.
constexpr std::chrono::seconds ackTime { 4 }; // `ack-ms`.
constexpr std::chrono::seconds observation { 40 }; // From the loss of the machine.

} // namespace

int main(int argc, char** argv)
{
    const auto hasTrouble = argc > 1 && std::string(argv[1]) == "1";
    Record record(argc > 2 ? argv[2] : "record.txt");
    Deployment deployment({ .states = 5, .entries = 2, .toleratedLosses = 2, .bounds = {} }, record);
    deployment.startAll();
    std::this_thread::sleep_for(lostAfter);
    const auto lostAt = Clock::now();
    if (hasTrouble)
        deployment.signal(deployment.stateName(4), SIGKILL); // Power loss; no other machine is harmed, and none of the seeds.
    Server server({ .address = deployment.serverAddress(0), .id = "i-orders-0", .service = "orders" }, deployment, record);
    if (!server.isListening())
        return 2;

    // The first desired state is sent again, to any machine that serves control, until it is accepted.
    const auto state = desiredState(1, static_cast<int>(timeLimit.count()));
    auto tries = 0;
    auto isAcknowledged = false;
    while (!isAcknowledged && Clock::now() - lostAt < observation) {
        ++tries;
        isAcknowledged = deployment.callControl("POST", "/config/replace", state, Milliseconds(2000));
        record.line("desired state 1, try %d: %s", tries, isAcknowledged ? "acknowledged" : "not acknowledged by any machine asked");
    }
    const auto waited = Clock::now() - lostAt;
    if (isAcknowledged)
        deployment.awaitReady(0, std::chrono::seconds(5));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    auto served = 0;
    constexpr auto requests = 20;
    for (int i = 0; i < requests; ++i) {
        const auto id = "request-" + std::to_string(i);
        const auto outcome = Caller(deployment.callerAddress(i % 2)).call("POST", "/u/x", id, timeLimit, "{}");
        record.line("%s gets status %d", id.c_str(), outcome.status);
        served += outcome.status == 200 ? 1 : 0;
    }
    for (int i = 0; i < 5; ++i) {
        if (deployment.hasEnded(deployment.stateName(i)) && !(hasTrouble && i == 4))
            return 2;
    }
    const auto isBroken = !isAcknowledged && waited > contact + ackTime;
    record.line("desired state %s, %.1f s after the machines' start; %d of %d requests served", isAcknowledged ? "acknowledged" : "NOT ACKNOWLEDGED", secondsBetween(lostAt, Clock::now()), served, requests);
    return isBroken ? 1 : 0;
}
