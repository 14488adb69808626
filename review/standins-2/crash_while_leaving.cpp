// A runner that has said that it drains is killed in the middle of answers that have neither a length nor chunks.
#include "Common.h"

using namespace Review;

namespace {

constexpr int parts = 10;
constexpr double partGap = 0.3; // So an answer takes 3 s.

std::string wholeBody(const std::string& id)
{
    std::string body;
    for (int i = 1; i <= parts; ++i)
        body += "part " + std::to_string(i) + " of " + std::to_string(parts) + " for " + id + "\n";
    return body;
}

/** The runner's process. `leavingFile` exists once it drains. */
[[noreturn]] void runRunner(const std::string& ip, int port, const std::string& leavingFile)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    Listener listener(ip, port, [&](Connection& connection) {
        const auto message = connection.read(false, 60);
        if (message.method.empty())
            return;
        const auto id = message.field("attempt-id");
        const auto leaving = ::access(leavingFile.c_str(), F_OK) == 0 ? "Server-Leaving: 1\r\n" : "";
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRunner-Seal: s-" + id + "\r\n" + leaving + "Content-Type: text/plain\r\nConnection: close\r\n\r\n");
        const auto body = wholeBody(id);
        const auto size = body.size() / parts;
        for (int i = 0; i < parts; ++i) {
            sleepFor(partGap);
            if (!connection.write(i + 1 < parts ? body.substr(static_cast<std::size_t>(i) * size, size) : body.substr(static_cast<std::size_t>(i) * size)))
                return;
        }
    });
    if (!listener.isOpen())
        ::_exit(2);
    for (;;)
        sleepFor(1);
}

} // namespace

int main(int, char** argv)
{
    scriptStart();
    Record record(argv[1]);
    const auto trouble = hasTrouble();
    Deployment system(record, 2);
    const auto& network = system.network();
    const Folder folder;
    const auto leavingFile = (folder.path() / "leaving").string();
    std::vector<pid_t> runners;
    for (int i = 1; i <= 2; ++i) {
        const auto pid = ::fork();
        if (pid == 0)
            runRunner(system.runnerIp(i), network.servers, i == 1 ? leavingFile : (folder.path() / "never").string());
        runners.push_back(pid);
    }
    const auto finish = [&](int code) {
        for (const auto pid : runners) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        record.line("exit %d", code);
        return code;
    };
    const auto report = system.report(1, "app", 20);
    if (!system.put("{\"version\":5,\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"path-prefix\":\"/order/\",\"type\":\"unsafe\",\"timeout-ms\":8000,\"slo-ms\":300,\"priority\":0,\"service\":\"app\",\"max-attempts\":1,\"public\":false}],\"services\":[{\"name\":\"app\",\"health-path\":\"/healthz\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\"],\"priority\":1}]}", 10))
        return finish(2);
    sleepUntil(8);
    const auto ask = [&](const std::string& id) {
        return call(system.edge[0]->ip(), network.callers, "POST", "/order/x", "Attempt-Id: " + id + "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-1\r\n", "order", 9, "site.example");
    };
    const auto isWholeBody = [](const Message& answer, const std::string& id) { return answer.body == wholeBody(id); };
    const auto calm = ask("calm");
    record.line("in calm: %d %s, %zu of %zu bytes", calm.status, calm.isWhole ? "complete" : calm.error.c_str(), calm.body.size(), wholeBody("calm").size());
    if (calm.status != 200 || !isWholeBody(calm, "calm"))
        return finish(2);

    constexpr int requests = 6;
    std::vector<Message> answers(requests);
    std::vector<std::thread> threads;
    for (int i = 0; i < requests; ++i) {
        threads.emplace_back([&, i] {
            sleepFor(0.1 * i);
            answers[static_cast<std::size_t>(i)] = ask("a" + std::to_string(i));
        });
    }
    sleepFor(0.8);
    std::ofstream(leavingFile) << "1";
    report->isDraining = true;
    const auto end = now() + 3;
    while (report->leavingAcknowledgedAt < 0 && now() < end)
        sleepFor(0.01);
    sleepFor(0.8);
    if (trouble) {
        record.line("runner i-1 crashes: SIGKILL, %.2f s after its draining was acknowledged", now() - report->leavingAcknowledgedAt);
        ::kill(runners[0], SIGKILL);
        report->isSilent = true;
    }
    for (auto& it : threads)
        it.join();
    int broken = 0;
    for (int i = 0; i < requests; ++i) {
        const auto& answer = answers[static_cast<std::size_t>(i)];
        const auto id = "a" + std::to_string(i);
        const auto isBroken = answer.status == 200 && answer.isWhole && !isWholeBody(answer, id);
        record.line("%s: %d %s%s, Content-Length %s, %zu of %zu bytes of the runner's body, seal %s%s", id.c_str(), answer.status, answer.isWhole ? "complete" : "broken off", answer.error.empty() ? "" : (" (" + answer.error + ")").c_str(), answer.field("content-length").c_str(), answer.body.size(), wholeBody(id).size(), answer.field("runner-seal").c_str(), isBroken ? "  <- MIXED" : "");
        broken += isBroken ? 1 : 0;
    }
    record.line("%d successes with a part of the runner's body", broken);
    return finish(broken > 0 ? 1 : 0);
}
