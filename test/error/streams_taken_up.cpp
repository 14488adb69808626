/** \file
 * Streams that callers take up after all entry instances have ended, while servers of two versions serve: through a state
 * instance, entry instances and servers on loopback.
 */
#include "http/ResponseWriter.h"
#include "test/fakes/LoopbackDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <mutex>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr int firstPort = 7600;
constexpr int streams = 40;

const std::string configuration = R"({"version":3,"routes":[{"name":"t","host":"h.example","path-prefix":"/t/","type":"streaming","timeout-ms":5000,"slo-ms":4000,"service":"s","public":false,"sticky":true,"resumable":true,"max-attempts":1}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]},{"name":"x","api-keys":["other-key"]}]})";

/** Breaks each new stream off after its second event, and ends those that go on. Each event holds the version. */
class VersionedEngine final : public HttpHandler {
public:
    explicit VersionedEngine(std::string version)
        : m_version(std::move(version))
    {
    }

    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        const auto attempt = std::string(request.fields.find("Attempt-Id"));
        const auto isNew = request.fields.find("Last-Event-Id").empty();
        const HttpFields fields { { .name = "Attempt-Id", .value = attempt }, { .name = "Runner-Seal", .value = "seal" }, { .name = "Content-Type", .value = "text/event-stream" } };
        co_await writer.startStream(200, fields);
        {
            const std::lock_guard lock(mutex);
            if (isNew)
                begun[attempt] = m_version;
        }
        for (int id = isNew ? 1 : 3; id <= (isNew ? 2 : 4); ++id) {
            const auto event = "id: " + std::to_string(id) + "\ndata: " + m_version + "\n\n";
            co_await writer.write(event);
        }
        if (isNew)
            writer.abandon();
        else
            co_await writer.finishStream();
    }

    static inline std::mutex mutex;
    static inline std::map<std::string, std::string> begun; // Version by attempt. Guarded by mutex.

private:
    std::string m_version;
};

std::string eventsAfterTwo(const std::string& version)
{
    return fmt::format("id: 3\ndata: {0}\n\nid: 4\ndata: {0}\n\n", version);
}

/** Takes the stream up at the entry instance; repeats it while the instance starts. */
Answer takeUp(const LoopbackDeployment& deployment, int entry, const std::string& resumed, const std::string& key = "good-key")
{
    Answer answer;
    for (int i = 0; i < 200 && (answer.status == 0 || answer.body.find("no-configuration") != std::string::npos || answer.body.find("configuration-unconfirmed") != std::string::npos || answer.body.find("stream-version-gone") != std::string::npos || (resumed != "invented" && key == "good-key" && answer.body.find("stream-version-unknown") != std::string::npos)); ++i)
        answer = deployment.ask(entry, "/t/1", "prompt of " + resumed, key, HttpFields { { .name = "Attempt-Id", .value = "again-" + resumed + std::to_string(i) }, { .name = "Last-Event-Id", .value = "2" }, { .name = "Resumes", .value = resumed } });
    return answer;
}

} // namespace

TEST_CASE("entry instances tell a state instance that has restarted at which version their streams began", "[platform][loopback][versions]")
{
    VersionedEngine oldEngine("old");
    VersionedEngine newEngine("new");
    VersionedEngine::begun.clear();
    LoopbackDeployment deployment({ .name = "versions", .firstPort = firstPort, .configuration = configuration, .servers = { &oldEngine, &newEngine, &oldEngine, &newEngine }, .versions = { "old", "new", "old", "new" } });
    for (int i = 0; i < streams; ++i)
        CHECK(deployment.ask(0, "/t/1", "prompt of s" + std::to_string(i), "good-key", HttpFields { { .name = "Attempt-Id", .value = "s" + std::to_string(i) } }).status == 0);
    REQUIRE(VersionedEngine::begun.size() == streams);
    deployment.restartState();
    int goneOn = 0;
    for (const auto& [attempt, version] : std::map(VersionedEngine::begun)) {
        const auto answer = takeUp(deployment, 1, attempt);
        goneOn += answer.status == 200 ? 1 : 0;
        if (answer.status == 200)
            CHECK(answer.body == eventsAfterTwo(version));
    }
    CHECK(goneOn >= streams / 2);
    std::cout << "streams taken up after a restart of the state instance: " << goneOn << " of " << streams << " went on\n";
}

TEST_CASE("streams taken up after all entry instances have ended go on at the version that began them", "[platform][loopback][versions]")
{
    VersionedEngine oldEngine("old");
    VersionedEngine newEngine("new");
    VersionedEngine::begun.clear();
    LoopbackDeployment deployment({ .name = "versions", .firstPort = firstPort, .configuration = configuration, .servers = { &oldEngine, &newEngine, &oldEngine, &newEngine }, .versions = { "old", "new", "old", "new" } });
    for (int i = 0; i < streams; ++i)
        CHECK(deployment.ask(i % 2, "/t/1", "prompt of s" + std::to_string(i), "good-key", HttpFields { { .name = "Attempt-Id", .value = "s" + std::to_string(i) } }).status == 0);
    REQUIRE(VersionedEngine::begun.size() == streams);

    deployment.restartEntries();
    int goneOn = 0;
    for (const auto& [attempt, version] : std::map(VersionedEngine::begun)) {
        const auto answer = takeUp(deployment, goneOn % 2, attempt);
        goneOn += answer.status == 200 ? 1 : 0;
        if (answer.status == 200)
            CHECK(answer.body == eventsAfterTwo(version));
    }
    // The target is half of the share of new streams that begin; all of them began.
    CHECK(goneOn >= streams / 2);
    std::cout << "streams taken up: " << goneOn << " of " << streams << " went on\n";

    // Nobody knows these; another workspace may have used the same id.
    CHECK(takeUp(deployment, 0, "invented").body.find("stream-version-unknown") != std::string::npos);
    CHECK(takeUp(deployment, 1, "s0", "other-key").body.find("stream-version-unknown") != std::string::npos);
}
