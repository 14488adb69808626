/** \file
 * One of nine engines crashes while callers have streams there whose prompts have some two thousand parts each. The operator changes the
 * desired state all the while. Without trouble no engine crashes.
 */
#include "Harness.h"

using namespace Review;

namespace {

constexpr int engines = 9;
constexpr int slots = 64; // Of each engine.
constexpr int crashes = 1; // `srv_crash` takes a share of 0.17 at most, which is one of nine.
constexpr int ackMs = 4000; // `ack-ms`.
constexpr int operatorTimeoutMs = 1000; // The operator moves on to another machine after a second without an answer.
constexpr int giveUpMs = 30'000;
constexpr std::size_t maxPrefixBytes = 15'300; // The head stays under `max-header-bytes`, 16,384.

std::string promptOf(std::mt19937& random, int& parts)
{
    std::string text;
    char part[16];
    for (parts = 0; text.size() < maxPrefixBytes; ++parts) {
        std::snprintf(part, sizeof(part), "%s%x:1", parts > 0 ? "," : "", static_cast<unsigned>(0x1000 + random() % 0xf000));
        text += part;
    }
    return text;
}

} // namespace

int runCaseBody(Deployment& deployment, Record& record)
{
    std::vector<Server*> servers;
    for (int i = 0; i < engines; ++i) {
        servers.push_back(&startServer(deployment, i, "engines", true));
        servers.back()->setStream({ .events = 30, .pauseMs = 250 });
    }
    startServer(deployment, engines, "plain", false);
    DesiredState state;
    if (deployment.replaceConfig(state.text()) != 200 || !deployment.awaitReady(20))
        return exitNotRun;
    pause(2000);

    std::atomic<bool> isOver = false;
    std::vector<std::thread> callers;
    const auto first = deployment.options().states;
    const auto entries = deployment.options().entries;
    for (int i = 0; i < engines * slots; ++i) {
        callers.emplace_back([&, i] {
            std::mt19937 random(static_cast<unsigned>(i));
            while (!isOver) {
                int parts = 0;
                const auto prompt = promptOf(random, parts);
                Connection connection(deployment.callers(i % entries), 2000);
                if (connection.isOpen() && connection.send("POST /chat/1 HTTP/1.1\r\nHost: caption.example\r\nAttempt-Id: " + newAttemptId() + "\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer key-of-a\r\nModel: m\r\nToken-Counts: " + std::to_string(parts) + ",120\r\nPrefix-Hash: " + prompt + "\r\nContent-Length: 0\r\n\r\n"))
                    readAnswer(connection);
                for (int n = 0; n < 5 && !isOver; ++n)
                    pause(100);
            }
        });
        if (i % 16 == 15)
            pause(50);
    }
    pause(1500);
    int active = 0;
    for (const auto& it : servers)
        active += it->active();
    record.add("callers: " + std::to_string(active) + " streams in progress at " + std::to_string(engines) + " engines, through " + std::to_string(entries) + " entries");

    std::string text;
    int longestMs = 0;
    int acknowledged = 0;
    const auto change = [&] {
        ++state.version;
        const auto begin = Clock::now();
        const auto age = [&begin] { return static_cast<int>(std::chrono::duration_cast<milliseconds>(Clock::now() - begin).count()); };
        auto status = 0;
        for (int i = 0; status != 200 && age() < giveUpMs; ++i) {
            const auto at = deployment.states()[static_cast<std::size_t>(state.version + i) % deployment.states().size()];
            status = call(deployment.control(at), "POST /config/replace", "Host: control\r\nContent-Type: application/json\r\n", state.text(), operatorTimeoutMs).status;
        }
        longestMs = std::max(longestMs, age());
        acknowledged += status == 200 ? 1 : 0;
        if (age() > operatorTimeoutMs || status != 200) {
            int ready = 0;
            std::map<int, int> statuses;
            for (int i = 0; i < entries; ++i) {
                ready += deployment.isReady(i) ? 1 : 0;
                ++statuses[call(deployment.callers(i), "POST /order/1", callerFields(newAttemptId(), "key-of-b"), "one order", 2000).status];
            }
            std::string answers;
            for (const auto& [code, n] : statuses)
                answers += " " + std::to_string(n) + " x " + std::to_string(code);
            record.add("operator: version " + std::to_string(state.version) + ", status " + std::to_string(status) + " after " + std::to_string(age()) + " ms; then " + std::to_string(ready) + " of " + std::to_string(entries) + " entries are ready, orders there got" + answers);
        }
    };
    for (int i = 0; i < 4; ++i) {
        change();
        pause(250);
    }
    record.add("operator: 4 changes before, the longest took " + std::to_string(longestMs) + " ms");
    if (longestMs > operatorTimeoutMs)
        return exitNotRun;
    if (hasTrouble()) {
        for (int i = 0; i < crashes; ++i) {
            record.add("disruption: engine " + servers[static_cast<std::size_t>(i)]->id() + " crashes with " + std::to_string(servers[static_cast<std::size_t>(i)]->active()) + " streams in progress");
            servers[static_cast<std::size_t>(i)]->crash();
        }
    }
    const auto begin = Clock::now();
    while (Clock::now() - begin < std::chrono::seconds(30)) {
        change();
        pause(250);
    }
    isOver = true;
    for (auto& it : callers)
        it.join();
    int ends = 0;
    std::size_t peakMb = 0;
    for (int i = 0; i < first + entries; ++i) {
        ends += deployment.ends(i);
        peakMb = std::max(peakMb, i < first ? 0 : deployment.peakMb(i));
    }
    record.add("result: " + std::to_string(acknowledged) + " changes acknowledged, the longest took " + std::to_string(longestMs) + " ms; " + std::to_string(ends) + " processes ended, the entries use " + std::to_string(peakMb) + " MB at most");
    return longestMs > ackMs && ends == 0 ? exitBroken : exitHeld;
}

int main(int argc, char** argv)
{
    return runCase(argc, argv, { .root = {}, .entries = 9 }, runCaseBody);
}
