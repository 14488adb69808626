/** \file
 * A caller asks with HEAD, on a connection that it keeps, for a route that a desired state has removed, and then places an order there.
 */
#include "Harness.h"

using namespace Review;

int runCaseBody(Deployment& deployment, Record& record)
{
    const auto onRun = [&](const Server& server, const Server::Request& request) {
        record.add("server " + server.id() + " runs " + request.method + " " + request.target + " id=" + request.head.field("attempt-id"));
    };
    startServer(deployment, 0, "plain", false, onRun);
    startServer(deployment, 1, "engines", true, onRun);
    DesiredState state;
    if (deployment.replaceConfig(state.text()) != 200 || !deployment.awaitReady(20))
        return exitNotRun;
    pause(2000);

    // HTTP/1.1: the answer to HEAD ends with its head, whatever Content-Length says. What comes next belongs to the next request.
    const auto askHead = [&](Connection& connection) {
        const auto attempt = newAttemptId();
        if (!connection.send("HEAD /look/1 HTTP/1.1\r\n" + callerFields(attempt, "key-of-a") + "\r\n"))
            return Head();
        const auto head = parseHead(connection.readUntil("\r\n\r\n"));
        record.add("caller: HEAD /look/1 id=" + attempt + ", answer \"" + head.firstLine + "\"");
        return head;
    };
    int broken = 0;
    const auto askBoth = [&](int entry, const std::string& expected) {
        Connection connection(deployment.callers(entry));
        const auto head = askHead(connection);
        if (!head.firstLine.starts_with(expected))
            return false;
        pause(100);
        const auto attempt = newAttemptId();
        connection.send("POST /order/1 HTTP/1.1\r\n" + callerFields(attempt, "key-of-a") + "Content-Length: 9\r\n\r\none order");
        const auto bytes = connection.readFor(1500);
        const auto isAnswer = bytes.starts_with("HTTP/1.1 ");
        record.add("caller: POST /order/1 id=" + attempt + ", " + (isAnswer ? "an answer: " : "bytes that are no answer: ") + bytes.substr(0, bytes.find('\r')));
        broken += isAnswer ? 0 : 1;
        return true;
    };
    for (int entry = 0; entry < 2; ++entry) {
        if (!askBoth(entry, "HTTP/1.1 200"))
            return exitNotRun;
    }
    if (broken > 0)
        return exitNotRun; // Not by the disruption.
    if (hasTrouble()) {
        state.version = 2;
        state.hasLookUps = false;
        const auto status = deployment.replaceConfig(state.text());
        record.add("operator: version 2 without the route /look/, status " + std::to_string(status));
        if (status != 200)
            return exitNotRun;
        pause(3000); // Beyond `config-apply-ms`, 2,000.
    }
    for (int i = 0; i < 3; ++i) {
        for (int entry = 0; entry < 2; ++entry) {
            if (!askBoth(entry, hasTrouble() ? "HTTP/1.1 404" : "HTTP/1.1 200"))
                return exitNotRun;
        }
    }
    record.add("result: " + std::to_string(broken) + " times bytes that are no answer came on a kept connection");
    return broken > 0 ? exitBroken : exitHeld;
}

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, runCaseBody);
}
