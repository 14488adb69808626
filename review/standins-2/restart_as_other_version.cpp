// A runner crashes and starts again under its id and address with the next version of its software. Its first status report arrives
// late. Streams that begin at it meanwhile go on at a runner of the former version when it crashes once more.
#include "Common.h"

using namespace Review;

namespace {

constexpr int events = 45;
constexpr double eventGap = 0.1;

/** The process of one lifetime of a runner. */
[[noreturn]] void runRunner(const std::string& ip, int port, const std::string& id, const std::string& version)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    Listener listener(ip, port, [&](Connection& connection) {
        for (;;) {
            const auto message = connection.read(false, 60);
            if (message.method.empty())
                return;
            const auto attempt = message.field("attempt-id");
            if (const auto expected = message.field("expected-instance"); !expected.empty() && expected != id) {
                connection.write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const auto after = message.field("last-event-id").empty() ? 0 : std::stoi(message.field("last-event-id"));
            auto isOpen = connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nRunner-Seal: s-" + id + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = after + 1; i <= events && isOpen; ++i) {
                sleepFor(eventGap);
                const auto event = "id: " + std::to_string(i) + "\ndata: " + version + (i == events ? " last" : "") + "\n\n";
                char size[16];
                snprintf(size, sizeof(size), "%zx\r\n", event.size());
                isOpen = connection.write(size + event + "\r\n" + (i == events ? "0\r\n\r\n" : ""));
            }
            if (!isOpen)
                return;
        }
    });
    if (!listener.isOpen())
        ::_exit(2);
    for (;;)
        sleepFor(1);
}

/** The versions in the order in which their events came, with the number of events of each. */
std::vector<std::pair<std::string, int>> versionsOf(const std::string& body)
{
    std::vector<std::pair<std::string, int>> found;
    for (std::size_t at = body.find("data: "); at != std::string::npos; at = body.find("data: ", at + 1)) {
        const auto version = body.substr(at + 6, 2);
        if (found.empty() || found.back().first != version)
            found.emplace_back(version, 0);
        ++found.back().second;
    }
    return found;
}

} // namespace

int main(int, char** argv)
{
    scriptStart();
    Record record(argv[1]);
    const auto trouble = hasTrouble();
    Deployment system(record, 1);
    const auto& network = system.network();
    std::map<int, pid_t> runners;
    const auto start = [&](int number, const std::string& version) {
        const auto pid = ::fork();
        if (pid == 0)
            runRunner(system.runnerIp(number), network.servers, "i-" + std::to_string(number), version);
        runners[number] = pid;
        record.line("runner i-%d starts at %s with version %s", number, system.runnerIp(number).c_str(), version.c_str());
    };
    const auto kill = [&](int number) {
        ::kill(runners[number], SIGKILL);
        ::waitpid(runners[number], nullptr, 0);
        record.line("runner i-%d crashes: SIGKILL", number);
    };
    const auto finish = [&](int code) {
        for (const auto& [number, pid] : runners) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        record.line("exit %d", code);
        return code;
    };
    start(1, "v1");
    start(2, "v1");

    // The status reports: each 1.2 s; the first one of a new lifetime is sent at its start and arrives `lateBy` later.
    constexpr double lateBy = 1.5;
    struct Lifetime {
        std::string version = "v1";
        long born = 1790000000000;
        double reportsFrom = 0;
        bool isDown = false;
    };
    std::mutex mutex;
    std::map<int, Lifetime> lifetimes { { 1, {} }, { 2, {} } };
    std::atomic<bool> isOver = false;
    std::thread reports([&] {
        std::map<int, double> due;
        std::map<long, int> sequences;
        while (!isOver) {
            sleepFor(0.02);
            for (int number = 1; number <= 2; ++number) {
                Lifetime it;
                {
                    const std::lock_guard lock(mutex);
                    it = lifetimes[number];
                }
                if (it.isDown || now() < it.reportsFrom || now() < due[number])
                    continue;
                due[number] = now() + 1.2;
                const auto sequence = ++sequences[it.born * 10 + number];
                const auto body = "{\"service\":\"gen\",\"address\":\"" + system.runnerIp(number) + ":" + std::to_string(network.servers) + "\",\"zone\":\"zone-a\",\"version\":\"" + it.version + "\",\"slots\":48,\"state\":\"ready\",\"cold-left-ms\":0,\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":" + std::to_string(sequence) + ",\"born\":" + std::to_string(it.born) + "}";
                for (const auto& machine : system.core) {
                    if (call(machine->ip(), network.control, "POST", "/instances/i-" + std::to_string(number) + "/heartbeat", "Content-Type: application/json\r\n", body, 1).status != 200)
                        continue;
                    if (sequence == 1)
                        record.line("status report 1 of runner i-%d with version %s is acknowledged", number, it.version.c_str());
                    break;
                }
            }
        }
    });
    const auto end = [&](int code) {
        isOver = true;
        reports.join();
        return finish(code);
    };
    if (!system.put("{\"version\":5,\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"path-prefix\":\"/gen/\",\"type\":\"streaming\",\"timeout-ms\":10000,\"slo-ms\":300,\"priority\":0,\"service\":\"gen\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"itl-target-ms\":150}],\"services\":[{\"name\":\"gen\",\"health-path\":\"/healthz\",\"max-conns\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,\"kv-capacity\":444000,\"kv-bytes\":131072,\"link-mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"session-ttl-s\":5.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\"],\"priority\":1}]}", 10))
        return end(2);
    sleepUntil(8);
    const auto ask = [&](const std::string& id, int number) {
        char part[64];
        snprintf(part, sizeof(part), "%x:100", 4000 + 77 * number);
        return call(system.edge[0]->ip(), network.callers, "POST", "/gen/x", "Attempt-Id: " + id + "\r\nModel: m\r\nToken-Counts: 100,225\r\nPrefix-Hash: " + part + "\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer key-1\r\n", "prompt", 11, "site.example");
    };
    const auto calm = ask("calm", 0);
    record.line("in calm: %d %s, %zu kinds of version", calm.status, calm.isWhole ? "complete" : calm.error.c_str(), versionsOf(calm.body).size());
    if (calm.status != 200 || !calm.isWhole)
        return end(2);

    // No stream runs at the runner when it crashes.
    const auto restart = [&](const std::string& version, long born) {
        {
            const std::lock_guard lock(mutex);
            lifetimes[1] = { .version = version, .born = born, .reportsFrom = now() + lateBy, .isDown = false };
        }
        start(1, version);
    };
    if (trouble) {
        {
            const std::lock_guard lock(mutex);
            lifetimes[1].isDown = true;
        }
        kill(1);
        sleepFor(2); // Down for some seconds.
        restart("v2", 1790000100000);
    }
    constexpr int streams = 16;
    std::vector<Message> answers(streams);
    std::vector<std::thread> threads;
    for (int i = 0; i < streams; ++i) {
        threads.emplace_back([&, i] {
            sleepFor(0.2 + 0.06 * i);
            answers[static_cast<std::size_t>(i)] = ask("a" + std::to_string(i), i + 1);
        });
    }
    sleepFor(3.5);
    if (trouble) {
        {
            const std::lock_guard lock(mutex);
            lifetimes[1].isDown = true;
        }
        kill(1);
        sleepFor(2);
        restart("v2", 1790000200000);
    }
    for (auto& it : threads)
        it.join();
    int joined = 0;
    for (int i = 0; i < streams; ++i) {
        const auto& answer = answers[static_cast<std::size_t>(i)];
        std::string text;
        const auto versions = versionsOf(answer.body);
        for (const auto& [version, n] : versions)
            text += " " + std::to_string(n) + " of " + version;
        std::set<std::string> kinds;
        for (const auto& it : versions)
            kinds.insert(it.first);
        joined += kinds.size() > 1 ? 1 : 0;
        record.line("a%d: %d %s, events:%s%s", i, answer.status, answer.isWhole ? "complete" : "broken off", text.c_str(), kinds.size() > 1 ? "  <- joined" : "");
    }
    record.line("%d streams hold events of two versions; more than two break the rule", joined);
    return end(joined > 2 ? 1 : 0);
}
