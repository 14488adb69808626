/** \file
 * Test bench that sends one request through the entry instance's request path to scripted backend servers.
 */
#pragma once

#include "base/Digest.h"
#include "entry/ActiveSettings.h"
#include "entry/CallerApi.h"
#include "entry/Dispatcher.h"
#include "http/BufferBudget.h"
#include "metrics/Metrics.h"
#include "scheduling/EstimatedLoadChoice.h"
#include "test/fakes/FakeUpstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace HickoryHollow::Fakes {

inline const std::string exampleKey = "example-workspace-key";
inline const std::string inventoryText = "[service captions]\nmodels = m\n[service orders]\nkind = plain\npath = /orders\n[service stock]\nkind = plain\npath = /stock\n[workspace w]\nkey-sha256 = " + sha256Hex(exampleKey) + "\nclasses = chat, draft\n";
inline const std::string rulesText = "[class chat]\ntier = 2\nprotected = true\n[class draft]\ntier = 5\nlength = long\n[class live]\ntier = 1\n[once-only]\nservices = orders\n";

struct RequestBench {
    RequestBench()
        : dispatcher({ .scheduler = { .ownDomain = FailureDomainId("a") }, .seed = 1 }, std::make_unique<EstimatedLoadChoice>())
        , api({ .dispatcher = dispatcher, .ledger = ledger, .metrics = metrics, .settings = activeSettings, .processIncarnation = 7, .upstreamOfThisLoop = [this]() -> UpstreamClient& { return upstream; }, .interruptsOfThisLoop = [this]() -> Interrupts& { return interrupts; }, .answerBytesOfThisLoop = [this]() -> BufferBudget& { return answerBytes; } })
    {
        Diagnostics diagnostics;
        activeSettings.apply(parseRoutingSettings({ .inventory = inventoryText, .rules = rulesText }, SettingsVersion(1), diagnostics));
        activeSettings.extendLease(TimePoint::max());
        std::vector<BackendInfo> backends;
        for (const auto* address : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
            backends.push_back({ .id = BackendId(address), .incarnation = Incarnation(1), .failureDomain = FailureDomainId("a"), .pools = { PoolId("model:m"), PoolId("service:orders"), PoolId("service:stock") }, .slots = 4 });
        dispatcher.setBackends(backends);
    }

    /** Handles the request and returns when the event loop has nothing left to run. */
    void run(const HttpRequest& request)
    {
        asio::io_context loop;
        asio::co_spawn(loop, api.handle(request, writer), asio::detached);
        loop.run();
    }

    static HttpRequest chat(bool isStream)
    {
        HttpRequest request { .method = "POST", .target = "/v1/chat/completions", .fields = {}, .body = isStream ? R"({"model":"m","stream":true,"messages":[]})" : R"({"model":"m","messages":[]})" };
        request.fields.add("Authorization", "Bearer " + exampleKey);
        return request;
    }

    static HttpRequest order(const std::string& key)
    {
        HttpRequest request { .method = "POST", .target = "/orders/7", .fields = {}, .body = "plate" };
        request.fields.add("Authorization", "Bearer " + exampleKey);
        if (!key.empty())
            request.fields.add("Idempotency-Key", key);
        return request;
    }

    /** Returns the number of jobs that the scheduler has running or queued. */
    std::size_t running() const
    {
        std::size_t n = 0;
        dispatcher.inspect([&n](const Scheduler& scheduler) { n = scheduler.running() + scheduler.queued(); });
        return n;
    }

    FakeUpstream upstream;
    RecordingWriter writer;
    MemoryLedger ledger;
    Interrupts interrupts;
    BufferBudget answerBytes;
    Metrics metrics;
    ActiveSettings activeSettings;
    Dispatcher dispatcher;
    CallerApi api;
};

} // namespace HickoryHollow::Fakes
