// The first start of the whole system. One of the five core machines is lost for good as it starts, and an empty one comes 1 s later at
// another address. The operator sends the first desired state until it is acknowledged.
#include "Common.h"

using namespace Review;

int main(int, char** argv)
{
    scriptStart();
    Record record(argv[1]);
    const auto trouble = hasTrouble();
    const auto network = findNetwork();
    const Folder folder;
    constexpr double contact = 3; // Bound contact-ms.
    constexpr double ack = 4; // Bound ack-ms.
    const char* zones[] = { "zone-a", "zone-b", "zone-c" };
    std::vector<std::unique_ptr<Machine>> core;
    for (int i = 0; i < 6; ++i)
        core.push_back(std::make_unique<Machine>(network, folder.path(), "core-" + std::to_string(i + 1), network.ip(1, i + 1), zones[i % 3], true));
    Machine edge(network, folder.path(), "edge-1", network.ip(2, 1), "zone-a", false);
    const std::vector<std::string> seeds { core[0]->ip(), core[1]->ip(), core[2]->ip() };
    std::vector<Machine*> control; // That serve control, as the operator's list has them.
    const auto start = [&](Machine& machine, bool isFirst) {
        machine.writeSettings(seeds, isFirst);
        machine.start();
        record.line("%s starts at %s, bootstrap = %s", machine.name().c_str(), machine.ip().c_str(), isFirst ? "true" : "false");
        if (machine.isCore())
            control.push_back(&machine);
    };

    // All machines start within 0.3 s of each other.
    start(*core[1], true);
    sleepUntil(0.2);
    double lostAt = 0;
    if (trouble) {
        core[1]->kill();
        lostAt = now();
        control.clear();
        record.line("core-2 loses power for good");
    }
    for (const auto i : { 0, 2, 3, 4 })
        start(*core[static_cast<std::size_t>(i)], true);
    start(edge, true);
    if (trouble) {
        sleepUntil(lostAt + 1);
        start(*core[5], false);
    }

    const std::string document = "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"path-prefix\":\"/safe/\",\"type\":\"safe\",\"timeout-ms\":4000,\"slo-ms\":300,\"priority\":1,\"service\":\"svc\",\"max-attempts\":2,\"public\":true}],\"services\":[{\"name\":\"svc\",\"health-path\":\"/healthz\",\"max-conns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[]}";
    double acknowledgedAt = -1;
    const auto calmFrom = lostAt + 1 + contact; // contact-ms after the last start.
    const auto end = calmFrom + 10 * ack;
    while (now() < end && acknowledgedAt < 0) {
        for (const auto* it : control) {
            const auto sentAt = now();
            const auto answer = call(it->ip(), network.control, "POST", "/config/replace", "Content-Type: application/json\r\n", document, 1);
            record.line("operator sends version 1 to %s: %d %s %s", it->name().c_str(), answer.status, answer.error.c_str(), answer.status == 200 ? "" : answer.body.c_str());
            if (answer.status == 200) {
                acknowledgedAt = now();
                break;
            }
            sleepFor(std::max(0.0, sentAt + 0.5 - now()));
        }
    }
    int running = 0;
    for (auto* it : control)
        running += it->runs() ? 1 : 0;
    record.line("%d core machines run, undisturbed since %.1f s; the first desired state %s", running, calmFrom, acknowledgedAt < 0 ? "has NO acknowledgement" : "is acknowledged");
    const auto isBroken = acknowledgedAt < 0 || acknowledgedAt > calmFrom + ack;
    const auto isValid = running == 5;
    record.line("exit %d", !isValid ? 2 : (isBroken ? 1 : 0));
    return !isValid ? 2 : (isBroken ? 1 : 0);
}
