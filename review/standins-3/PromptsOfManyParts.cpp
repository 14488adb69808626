/** \file
 * Callers whose prompts have thousands of parts of one token each, against the memory of the entry machines. Each entry gets 40 of
 * these requests a second, one after the other on four connections. Without trouble the prompts have three parts.
 */
#include "Harness.h"

using namespace Review;

namespace {

constexpr int callersPerEntry = 4;
constexpr int requestInterval = 100; // Milliseconds, of each caller.
constexpr int maxSeconds = 75;
constexpr int endsThatCount = 3; // RULES, "Fault": processes end by themselves three times in the day.
constexpr std::size_t maxPrefixBytes = 15'500; // The head stays under `max-header-bytes`, 16,384.

/** Parts with ids that no other prompt has before them. Returns the value of `Prefix-Hash`, and counts the parts. */
std::string promptOf(std::uint64_t number, int& parts)
{
    char part[40];
    std::snprintf(part, sizeof(part), "%llx:1", static_cast<unsigned long long>(0x10000000 + number));
    std::string text = part;
    parts = 1;
    if (!hasTrouble())
        return text + ",a1:800,b2:" + std::to_string(100 + parts++);
    while (text.size() < maxPrefixBytes) {
        std::snprintf(part, sizeof(part), ",%x:1", parts++);
        text += part;
    }
    return text;
}

} // namespace

int runCaseBody(Deployment& deployment, Record& record)
{
    std::atomic<std::uint64_t> runs = 0;
    std::vector<Server*> servers;
    for (int i = 0; i < 9; ++i)
        servers.push_back(&startServer(deployment, i, "engines", true, [&](const auto&, const auto&) { ++runs; }));
    servers.push_back(&startServer(deployment, 9, "plain", false));
    if (deployment.replaceConfig(DesiredState().text()) != 200 || !deployment.awaitReady(20))
        return exitNotRun;
    pause(2000);

    std::atomic<bool> isOver = false;
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> answered = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < 2 * callersPerEntry; ++i) {
        callers.emplace_back([&, entry = i % 2] {
            std::unique_ptr<Connection> connection;
            while (!isOver) {
                const auto next = Clock::now() + milliseconds(requestInterval);
                if (!connection)
                    connection = std::make_unique<Connection>(deployment.callers(entry));
                int parts = 0;
                const auto prompt = promptOf(++sent, parts);
                const auto fields = callerFields(newAttemptId(), "key-of-a") + "Model: m\r\nToken-Counts: " + std::to_string(hasTrouble() ? parts : 902) + ",10\r\nPrefix-Hash: " + prompt + "\r\nContent-Length: 0\r\n\r\n";
                const auto isSent = connection->isOpen() && connection->send("POST /chat/1 HTTP/1.1\r\n" + fields);
                const auto status = isSent ? readAnswer(*connection).status : 0;
                answered += status == 200 ? 1 : 0;
                if (status == 0)
                    connection.reset();
                std::this_thread::sleep_until(next);
            }
        });
    }
    const auto first = deployment.options().states;
    const auto isBroken = [&] { return deployment.ends(first) >= endsThatCount && deployment.ends(first + 1) >= endsThatCount; };
    int parts = 0;
    const auto example = promptOf(1, parts);
    record.add("callers: " + std::to_string(callersPerEntry) + " at each of 2 entries, prompts of " + std::to_string(parts) + " parts: " + example.substr(0, 60));
    for (int second = 0; second < maxSeconds && !isBroken(); ++second) {
        pause(1000);
        record.add("callers: " + std::to_string(sent) + " sent, " + std::to_string(answered) + " answered with 200; servers: " + std::to_string(runs) + " run; peak of the entries: " + std::to_string(deployment.peakMb(first)) + " and " + std::to_string(deployment.peakMb(first + 1)) + " MB");
    }
    isOver = true;
    for (auto& it : callers)
        it.join();
    const auto broken = isBroken();
    record.add("result: processes ended " + std::to_string(deployment.ends(first)) + " and " + std::to_string(deployment.ends(first + 1)) + " times on the 2 entry machines");
    return broken ? exitBroken : (answered > 0 ? exitHeld : exitNotRun);
}

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, runCaseBody);
}
