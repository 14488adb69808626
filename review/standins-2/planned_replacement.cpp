// Replaces three of the five core machines as planned work: the new machines first, each with an empty disk and at a new address;
// much later a SIGTERM to the three old ones, one after the other. Then the operator reads the desired state that was acknowledged.
#include "Deployment.h"

using namespace Review;

int main(int, char** argv)
{
    scriptStart();
    Record record(argv[1]);
    const auto trouble = hasTrouble();
    const auto network = findNetwork();
    const Folder folder;
    constexpr double catchUp = 4; // Bound catch-up-s.
    constexpr double settle = 12; // Three times that.
    constexpr double gap = 1; // Between two SIGTERMs, as the default of planned stops in turn.
    constexpr double recovery = 12; // Bound recovery-s.
    constexpr double grace = 8; // Bound grace-s.
    const char* zones[] = { "zone-a", "zone-b", "zone-c", "zone-a", "zone-b" };

    std::vector<std::unique_ptr<Machine>> core, fresh;
    std::vector<std::string> seeds;
    for (int i = 0; i < 5; ++i)
        core.push_back(std::make_unique<Machine>(network, folder.path(), "core-" + std::to_string(i + 1), network.ip(1, i + 1), zones[i], true));
    for (int i = 0; i < 3; ++i)
        seeds.push_back(core[static_cast<std::size_t>(i)]->ip());
    Machine edge(network, folder.path(), "edge-1", network.ip(2, 1), "zone-a", false);
    for (const auto& it : core) {
        it->writeSettings(seeds, true);
        it->start();
    }
    edge.writeSettings(seeds, true);
    edge.start();

    // A runner that answers each request at once.
    const auto runnerIp = network.ip(3, 1);
    std::atomic<int> runs = 0;
    Listener runner(runnerIp, network.servers, [&](Connection& connection) {
        for (;;) {
            const auto message = connection.read(false, 60);
            if (message.method.empty())
                return;
            ++runs;
            record.line("runner runs %s", message.field("attempt-id").c_str());
            connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + message.field("attempt-id") + "\r\nRunner-Seal: s-" + message.field("attempt-id") + "\r\nContent-Length: 5\r\n\r\nhello");
        }
    });
    if (!runner.isOpen()) {
        record.line("could not run: the runner's port is in use");
        return 2;
    }

    // The runner reports to any core machine that answers.
    std::mutex listMutex;
    std::vector<std::string> control; // The operator's list of the machines that serve control.
    for (const auto& it : core)
        control.push_back(it->ip());
    const auto list = [&] {
        const std::lock_guard lock(listMutex);
        return control;
    };
    std::atomic<bool> isOver = false;
    std::thread reports([&] {
        for (int sequence = 1; !isOver; ++sequence) {
            const auto body = "{\"service\":\"svc\",\"address\":\"" + runnerIp + ":" + std::to_string(network.servers) + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":" + std::to_string(sequence) + ",\"born\":1790000000000}";
            for (const auto& it : list()) {
                if (call(it, network.control, "POST", "/instances/i-1/heartbeat", "Content-Type: application/json\r\n", body, 1).status == 200)
                    break;
            }
            for (int i = 0; i < 12 && !isOver; ++i)
                sleepFor(0.1);
        }
    });
    const auto finish = [&](int code) {
        isOver = true;
        reports.join();
        record.line("exit %d", code);
        return code;
    };

    const auto document = [](int version) {
        return "{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"path-prefix\":\"/safe/\",\"type\":\"safe\",\"timeout-ms\":4000,\"slo-ms\":300,\"priority\":1,\"service\":\"svc\",\"max-attempts\":2,\"public\":true}],\"services\":[{\"name\":\"svc\",\"health-path\":\"/healthz\",\"max-conns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[]}";
    };
    const auto put = [&](int version, double end) {
        while (now() < end) {
            for (const auto& it : list()) {
                const auto answer = call(it, network.control, "POST", "/config/replace", "Content-Type: application/json\r\n", document(version), 1);
                record.line("operator sends version %d to %s: %d %s", version, it.c_str(), answer.status, answer.error.c_str());
                if (answer.status == 200)
                    return true;
            }
            sleepFor(0.3);
        }
        return false;
    };
    const auto read = [&](const std::string& ip) {
        const auto answer = call(ip, network.control, "GET", "/config/read", "", "", 2);
        record.line("operator reads at %s: %d %s %s", ip.c_str(), answer.status, answer.error.c_str(), answer.body.substr(0, 14).c_str());
        return answer;
    };
    int attempts = 0;
    const auto ask = [&] {
        const auto id = "a" + std::to_string(++attempts);
        const auto answer = call(edge.ip(), network.callers, "GET", "/safe/x", "Attempt-Id: " + id + "\r\nDeadline-Ms: 3000\r\n", "", 4, "site.example");
        record.line("requester gets %d %s for %s", answer.status, answer.error.c_str(), id.c_str());
        return answer.status;
    };

    if (!put(5, 10))
        return finish(2);
    sleepUntil(10);
    if (ask() != 200)
        return finish(2);

    for (int i = 0; i < 3; ++i) {
        fresh.push_back(std::make_unique<Machine>(network, folder.path(), "core-" + std::to_string(i + 6), network.ip(1, i + 6), zones[i], true));
        fresh.back()->writeSettings(seeds, false);
        fresh.back()->start();
        record.line("core machine %s starts at %s with an empty disk", fresh.back()->name().c_str(), fresh.back()->ip().c_str());
        const std::lock_guard lock(listMutex);
        control.push_back(fresh.back()->ip());
    }
    sleepFor(settle);
    if (!put(9, now() + 5))
        return finish(2);
    for (const auto& it : list()) {
        const auto answer = read(it);
        if (answer.status != 200 || answer.body.find("\"version\":9,") == std::string::npos)
            return finish(2); // Each machine, also each new one, has to be up and in touch.
    }
    record.line("all eight core machines read back version 9; the new ones have run for %.0f s, catch-up-s is %.0f", settle, catchUp);

    // The settings files name seeds that stay.
    const std::vector<std::string> later { fresh[0]->ip(), fresh[1]->ip(), fresh[2]->ip() };
    if (trouble) {
        for (int i = 0; i < 3; ++i) {
            auto& machine = *core[static_cast<std::size_t>(i)];
            {
                const std::lock_guard lock(listMutex);
                std::erase(control, machine.ip());
            }
            record.line("SIGTERM to %s, which leaves for good", machine.name().c_str());
            machine.signal(SIGTERM);
            sleepFor(gap);
        }
        for (int i = 0; i < 3; ++i) {
            auto& machine = *core[static_cast<std::size_t>(i)];
            const auto end = now() + grace;
            while (machine.runs() && now() < end)
                sleepFor(0.01);
            record.line("%s %s", machine.name().c_str(), machine.runs() ? "runs at the end of grace-s" : "has ended");
            machine.kill();
        }
        for (const auto& it : core)
            it->writeSettings(later, false);
        for (const auto& it : fresh)
            it->writeSettings(later, false);
        edge.writeSettings(later, false);
    } else {
        sleepFor(3 * gap);
    }

    // Everything that runs now has run for long, and nothing is disturbed any more.
    const auto removedAt = now();
    auto hasRead = false;
    auto hasServed = false;
    while (now() < removedAt + 3 * recovery && !(hasRead && hasServed)) {
        for (const auto& it : list()) {
            const auto answer = read(it);
            hasRead = hasRead || (answer.status == 200 && answer.body.find("\"version\":9,") != std::string::npos);
        }
        hasServed = ask() == 200 || hasServed;
        sleepFor(1);
    }
    record.line("%.0f s after the last machine left: desired state %s, requests %s", now() - removedAt, hasRead ? "read back" : "NOT read back at any machine", hasServed ? "served" : "NOT served");
    record.line(hasRead ? "the rule held" : "CONFIG broken: the acknowledged desired state doesn't come");
    return finish(hasRead ? 0 : 1);
}
