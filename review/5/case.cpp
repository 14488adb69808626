/** \file
 * Case 5: a refusal of a HEAD request carries a body, so that the requester takes its bytes for the answer to its next request.
 */
#include "../standins/Caller.h"
#include "../standins/Server.h"

using namespace Review;

namespace {

constexpr Milliseconds timeLimit { 4000 };
constexpr int pairsOfRequests = 5;

} // namespace

int main(int argc, char** argv)
{
    const auto hasTrouble = argc > 1 && std::string(argv[1]) == "1";
    Record record(argc > 2 ? argv[2] : "record.txt");
    Deployment deployment({}, record);
    deployment.startAll();
    auto server = std::make_unique<Server>(Server::Options { .address = deployment.serverAddress(0), .id = "i-orders-0", .service = "orders" }, deployment, record);
    if (!server->isListening() || !deployment.callControl("POST", "/config/replace", desiredState(1, static_cast<int>(timeLimit.count())), std::chrono::seconds(20)) || !deployment.awaitReady(0, std::chrono::seconds(20)))
        return 2;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    if (Caller(deployment.callerAddress(0)).call("GET", "/s/view", "warm-up", timeLimit).status != 200)
        return 2;
    if (hasTrouble) {
        server.reset();
        record.line("server i-orders-0 has crashed");
    }
    auto broken = 0;
    for (int i = 0; i < pairsOfRequests; ++i) {
        Caller caller(deployment.callerAddress(0));
        const auto id = "head-" + std::to_string(i);
        const auto head = caller.call("HEAD", "/s/view", id, timeLimit);
        record.line("%s gets status %d", id.c_str(), head.status);
        std::this_thread::sleep_for(Milliseconds(200));
        std::string bytes = caller.reader().rest();
        caller.socket().receive(bytes, Clock::now() + Milliseconds(200));
        if (head.status > 0 && !bytes.empty()) {
            ++broken;
            record.line("MIXED %s: %zu bytes with no request waiting: %s", id.c_str(), bytes.size(), bytes.substr(0, 120).c_str());
        }
    }
    record.line("%d of %d connections got bytes that are no answer", broken, pairsOfRequests);
    return broken > 0 ? 1 : 0;
}
