/** \file
 * Takes the keys of all tenants away with a desired state whose list of tenants is empty, and asks with them once the bounds for that
 * have passed. A request with a key that never was is recorded as well, but not judged.
 */
#include "Harness.h"

using namespace Review;

int runCaseBody(Deployment& deployment, Record& record)
{
    std::mutex mutex;
    std::map<std::string, std::string> runs; // Requests that a server ran, by attempt id, with the tenant that it was told.
    const auto onRun = [&](const Server& server, const Server::Request& request) {
        const std::lock_guard lock(mutex);
        runs[request.head.field("attempt-id")] = request.head.field("tenant");
        record.add("server " + server.id() + " runs " + request.method + " " + request.target + " id=" + request.head.field("attempt-id") + " tenant=" + request.head.field("tenant"));
    };
    startServer(deployment, 0, "plain", false, onRun);
    startServer(deployment, 1, "engines", true, onRun);

    DesiredState state;
    const auto first = deployment.replaceConfig(state.text());
    record.add("operator: version 1 with two tenants, status " + std::to_string(first));
    if (first != 200 || !deployment.awaitReady(20))
        return exitNotRun;
    pause(2000);
    const auto ask = [&](int entry, const std::string& key) {
        const auto attempt = newAttemptId();
        const auto answer = call(deployment.callers(entry), "POST /order/1", callerFields(attempt, key), "one order");
        const std::lock_guard lock(mutex);
        const auto hasRun = runs.contains(attempt);
        record.add("caller: POST /order/1 at entry " + std::to_string(entry) + " key=\"" + key + "\" id=" + attempt + " status=" + std::to_string(answer.status) + (hasRun ? " ran" : " did not run"));
        return hasRun;
    };
    for (int entry = 0; entry < 2; ++entry) {
        if (!ask(entry, "key-of-a") || !ask(entry, "key-of-b") || ask(entry, "key-of-nobody"))
            return exitNotRun;
    }

    // With trouble, the last tenant leaves; without, one of the two does.
    state.version = 2;
    state.tenants = hasTrouble() ? "[]" : R"([{"name":"tenant-b","api-keys":["key-of-b"],"priority":1}])";
    const auto second = deployment.replaceConfig(state.text());
    record.add("operator: version 2 with tenants " + state.tenants + ", status " + std::to_string(second));
    if (second != 200)
        return exitNotRun;
    pause(6000); // Beyond `revoke-ms`, 5,000, and `config-apply-ms`, 2,000.
    int broken = 0;
    for (int i = 0; i < 3; ++i) {
        for (int entry = 0; entry < 2; ++entry) {
            broken += ask(entry, "key-of-a") ? 1 : 0;
            ask(entry, "key-of-nobody");
        }
    }
    if (hasTrouble()) {
        for (int entry = 0; entry < 2; ++entry)
            broken += ask(entry, "key-of-b") ? 1 : 0;
    } else if (!ask(0, "key-of-b") || !ask(1, "key-of-b")) {
        return exitNotRun;
    }
    record.add("result: " + std::to_string(broken) + " requests ran with a key that was taken away over 5 s before");
    return broken > 0 ? exitBroken : exitHeld;
}

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, runCaseBody);
}
