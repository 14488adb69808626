/** \file
 * End-to-end test on loopback: a state instance and an entry instance with the platform's codecs, a backend server that
 * announces itself, an operator and callers.
 */
#include "http/HttpHandler.h"
#include "http/HttpServer.h"
#include "http/ResponseWriter.h"
#include "net/EventLoops.h"
#include "test/fakes/RunningInstance.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

namespace http = boost::beast::http;

constexpr int controlPort = 7922;
constexpr int callerPort = 7923;
constexpr int readyPort = 7924;
constexpr int serverPort = 7926;

const std::string commonSettings = "[membership]\nseeds = 127.0.0.1:7922\nseed-port = 7921\nfirst-start = true\nbearable-losses = 0\n[bounds]\ndrain-s = 0.8\nkey-lease-ms = 5000\n";

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"h.example","path-prefix":"/a/","type":"unsafe","timeout-ms":5000,"service":"s","public":false},
{"name":"t","host":"h.example","path-prefix":"/t/","type":"streaming","timeout-ms":5000,"service":"s","public":false,"sticky":true,"resumable":true,"max-attempts":2}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]}]})";
}

/** A backend server of the platform. It signs its answers, and cuts each new stream off after the second event. */
class SigningServer final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" } };
        if (!request.path().starts_with("/t/")) {
            HttpResponse response { .status = 200, .fields = fields, .body = "for " + std::string(request.fields.find("Tenant")) };
            co_await writer.send(std::move(response));
            co_return;
        }
        fields.add("Content-Type", "text/event-stream");
        const auto last = std::string(request.fields.find("Last-Event-Id"));
        co_await writer.startStream(200, fields);
        for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= 4; ++id) {
            const auto event = "id: " + std::to_string(id) + "\ndata: x\n\n";
            co_await writer.write(event);
            if (last.empty() && id == 2) {
                writer.abandon();
                co_return;
            }
        }
        co_await writer.finishStream();
    }
};

/** Submits a configuration as an operator, and repeats it until it is accepted (200) or refused as invalid (400). */
Answer submit(const std::string& text)
{
    Answer answer;
    for (int i = 0; i < 20 && answer.status != 200 && answer.status != 400; ++i)
        answer = call(controlPort, http::verb::post, "/config/replace", text);
    return answer;
}

} // namespace

TEST_CASE("a request on a submitted route reaches an announced server, and the caller gets the signed answer", "[platform][loopback]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("hickory-path-" + std::to_string(::getpid()) + "-data");
    std::filesystem::create_directories(folder);
    SigningServer signing;
    EventLoops serverLoops(1);
    const HttpServer server(serverLoops, signing, { .address = "127.0.0.1:" + std::to_string(serverPort) });
    std::thread serverThread([&serverLoops] { serverLoops.run(); });
    {
        const RunningInstance state("[instance]\nname = s1\nfailure-domain = a\ndata-folder = " + folder.string() + "\n[listen]\nlinks = 127.0.0.1:7921\ncontrol = 127.0.0.1:7922\n" + commonSettings, "-state.ini");
        const RunningInstance entry("[instance]\nname = e1\nfailure-domain = a\n[listen]\nlinks = 127.0.0.1:7925\ncallers = 127.0.0.1:7923\nready = 127.0.0.1:7924\n" + commonSettings, "-entry.ini");

        CHECK(submit(configuration(3)).status == 200);
        CHECK(submit(configuration(2)).status == 200);
        CHECK(submit("{\"version\":4").status == 400);
        CHECK(call(controlPort, http::verb::get, "/config/read", "").body == configuration(3));
        const std::string report = R"({"service":"s","address":"127.0.0.1:7926","zone":"a","version":"v1","slots":4,"state":"ready","cold-left-ms":0,"seq":1,"born":17})";
        CHECK(call(controlPort, http::verb::post, "/instances/i-1/heartbeat", report).status == 200);
        CHECK(call(controlPort, http::verb::post, "/instances/i-1/heartbeat", "nonsense").status == 400);

        const auto served = call(callerPort, http::verb::post, "/a/1", "plate", "good-key");
        CHECK(served.status == 200);
        CHECK(served.body == "for w");
        CHECK(served.seal == "seal");
        CHECK(call(readyPort, http::verb::get, "/readyz", "").status == 200);
        CHECK(call(callerPort, http::verb::post, "/a/1", "plate", "bad-key").status == 401);
        CHECK(call(callerPort, http::verb::post, "/b/1", "plate", "good-key").status == 404);

        // The only server cuts the stream off. No other server can resume it, and it must not look complete to the caller.
        CHECK(call(callerPort, http::verb::post, "/t/1", "draft", "good-key").status == 0);

        CHECK(call(controlPort, http::verb::post, "/instances/i-1/deregister", "").status == 200);
        // Requests are refused once the deregistration has reached the entry instance.
        Answer after;
        for (int i = 0; i < 1000 && after.status != 503; ++i)
            after = call(callerPort, http::verb::post, "/a/1", "plate", "good-key");
        CHECK(after.status == 503);
    }
    serverLoops.stop();
    serverThread.join();
    std::filesystem::remove_all(folder);
}
