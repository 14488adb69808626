/** \file
 * During an update of a service, one engine starts again under its id with the new version, and its status reports arrive late. Callers
 * whose connections break take their streams up.
 */
#include "Harness.h"

using namespace Review;

namespace {

constexpr int engines = 6;
constexpr int engineOfNewVersion = 5; // The last one; the others begin with the old version.
constexpr int reportDelayMs = 2000; // PROTOCOL: "A status report may arrive seconds late".
constexpr int callersAtOnce = 24;
constexpr int piecesBeforeBreak = 6;
constexpr int pieces = 20;
constexpr int streamsThatCount = 3; // NEWS, ORDER: "More than two streams".

/** Reads events until `through`. Returns the ids and versions that came, and sets whether the answer ended whole. */
std::vector<std::pair<int, std::string>> readEvents(Connection& connection, int through, int& status, bool& isWhole)
{
    std::vector<std::pair<int, std::string>> events;
    const auto head = parseHead(connection.readUntil("\r\n\r\n"));
    status = head.firstLine.size() > 12 ? std::atoi(head.firstLine.c_str() + 9) : 0;
    isWhole = false;
    std::string text;
    while (status == 200 && head.field("transfer-encoding") == "chunked") {
        const auto line = connection.readUntil("\r\n");
        if (line.empty())
            return events;
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        std::string chunk;
        if (!connection.readBytes(size + 2, chunk))
            return events;
        if (size == 0) {
            isWhole = true;
            return events;
        }
        text += chunk.substr(0, size);
        for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
            const auto event = text.substr(0, end);
            text.erase(0, end + 2);
            const auto of = event.rfind(" of ");
            events.emplace_back(std::atoi(event.c_str() + 4), of == std::string::npos ? "" : event.substr(of + 4));
            if (events.back().first >= through)
                return events;
        }
    }
    return events;
}

std::string fieldsOf(const std::string& attempt, int caller, int number, const std::string& more)
{
    return "Host: caption.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-of-a\r\nModel: m\r\nToken-Counts: 900,80\r\nPrefix-Hash: a1:800,"
        + std::to_string(1000 + caller) + ":50," + std::to_string(100000 + caller * 1000 + number) + ":50\r\n" + more + "Content-Length: 0\r\n\r\n";
}

} // namespace

int runCaseBody(Deployment& deployment, Record& record)
{
    std::vector<Server*> servers;
    const Server::Stream stream { .events = pieces, .pauseMs = 40 };
    for (int i = 0; i < engines; ++i) {
        servers.push_back(&startServer(deployment, i, "engines", true, Server::OnRun(), ServerStart { .id = {}, .version = i == engineOfNewVersion ? "v2" : "v1" }));
        servers.back()->setStream(stream);
    }
    startServer(deployment, engines, "plain", false);
    if (deployment.replaceConfig(DesiredState().text()) != 200 || !deployment.awaitReady(20))
        return exitNotRun;
    pause(3000);

    std::atomic<bool> isOver = false;
    std::atomic<int> whole = 0;
    std::atomic<int> mixed = 0;
    std::atomic<int> notTakenUp = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < callersAtOnce; ++i) {
        callers.emplace_back([&, i] {
            for (int number = 0; !isOver; ++number) {
                const auto first = newAttemptId();
                std::vector<std::pair<int, std::string>> events;
                std::string line = "caller: stream " + first;
                auto isWhole = false;
                // The first connection breaks behind some pieces.
                {
                    Connection connection(deployment.callers(i % 2), 4000);
                    auto status = 0;
                    if (connection.isOpen() && connection.send("POST /chat/1 HTTP/1.1\r\n" + fieldsOf(first, i, number, "")))
                        events = readEvents(connection, piecesBeforeBreak, status, isWhole);
                    line += " status " + std::to_string(status);
                }
                for (int attempt = 0; !events.empty() && !isWhole && attempt < 4; ++attempt) {
                    if (attempt > 0)
                        pause(300);
                    Connection connection(deployment.callers((i + attempt + 1) % 2), 4000);
                    auto status = 0;
                    std::vector<std::pair<int, std::string>> further;
                    const auto more = "Last-Event-Id: " + std::to_string(events.back().first) + "\r\nResumes: " + first + "\r\n";
                    if (connection.isOpen() && connection.send("POST /chat/1 HTTP/1.1\r\n" + fieldsOf(newAttemptId(), i, number, more)))
                        further = readEvents(connection, pieces + 1, status, isWhole);
                    line += ", taken up after piece " + std::to_string(events.back().first) + ": status " + std::to_string(status);
                    events.insert(events.end(), further.begin(), further.end());
                }
                std::map<std::string, int> versions;
                for (const auto& it : events)
                    ++versions[it.second];
                std::string text;
                for (const auto& [version, n] : versions)
                    text += (text.empty() ? "" : " and ") + std::to_string(n) + " of " + version;
                if (versions.size() > 1) {
                    ++mixed;
                    record.add(line + "; pieces: " + text);
                } else if (isWhole) {
                    ++whole;
                } else {
                    ++notTakenUp;
                }
            }
        });
    }
    pause(3000);
    for (int round = 0; round < 3; ++round) {
        if (hasTrouble()) {
            auto& old = *servers[static_cast<std::size_t>(round)];
            record.add("disruption: engine " + old.id() + " of v1 is killed and starts again at once under its id, with v2; its status reports arrive " + std::to_string(reportDelayMs) + " ms late");
            old.crash();
            pause(50);
            servers[static_cast<std::size_t>(round)] = &startServer(deployment, round, "engines", true, Server::OnRun(), ServerStart { .id = old.id(), .version = "v2", .reportDelayMs = reportDelayMs });
            servers[static_cast<std::size_t>(round)]->setStream(stream);
        }
        pause(8000);
    }
    isOver = true;
    for (auto& it : callers)
        it.join();
    record.add("result: " + std::to_string(whole) + " streams whole and of one version, " + std::to_string(mixed) + " with pieces of two versions, " + std::to_string(notTakenUp) + " not finished");
    if (whole < 50)
        return exitNotRun;
    return mixed >= streamsThatCount ? exitBroken : exitHeld;
}

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, runCaseBody);
}
