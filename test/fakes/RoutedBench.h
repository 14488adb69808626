/** \file
 * Test fixture that sends one request through RoutedHandler to scripted backend servers, with the platform's header
 * fields. No sockets: the upstream client and the response writer are fakes.
 */
#pragma once

#include "base/SeededRandom.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "forwarding/ForwardingContext.h"
#include "forwarding/RoutedHandler.h"
#include "placement/BackendSelector.h"
#include "placement/PromptGuard.h"
#include "placement/RelayPeers.h"
#include "platform/HeaderCodec.h"
#include "routing/ActiveRouting.h"
#include "test/fakes/FakeStreamOrigins.h"
#include "test/fakes/FakeUpstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace HickoryHollow::Fakes {

inline const std::string attemptId = "c0ffee";

class RoutedBench {
public:
    RoutedBench()
        : random(1)
        , selector({ .ownDomain = FailureDomainId("a") }, random)
        , relayPeers(random)
        , admissionQueue(loop, selector)
        , streamOrigins(selector)
        , context { .loop = loop, .codec = codec, .routing = routing, .selector = selector, .promptGuard = promptGuard, .admissionQueue = admissionQueue, .streamOrigins = streamOrigins, .upstream = upstream, .relayPeers = relayPeers, .random = random, .metrics = metrics, .retryOptions = { .ratio = 0.2, .slack = 10, .window = std::chrono::seconds(10) } }
        , handler(context)
    {
        routing.apply(configuration());
        context.startedAt = monotonicNow() - std::chrono::hours(1);
        confirm(std::chrono::seconds(5));
        for (const auto* address : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
            addServer(address, "models");
        for (const auto* address : { "10.0.0.4:1", "10.0.0.5:1" })
            addServer(address, "orders");
    }

    static RouteRule route(const std::string& name, RequestKind kind, const std::string& service)
    {
        RouteRule rule { .id = RouteId(name), .host = "h.example", .pathPrefix = "/" + name + "/", .kind = kind };
        rule.timeout = std::chrono::seconds(5);
        rule.firstTokenTarget = std::chrono::milliseconds(300);
        rule.maxAttempts = kind == RequestKind::Once ? 1 : 2;
        rule.services = { { .service = ServiceId(service), .weight = 1 } };
        return rule;
    }

    static RoutingConfiguration configuration()
    {
        RoutingConfiguration result { .version = RoutingVersion(7) };
        auto resumable = route("draft", RequestKind::Stream, "models");
        resumable.isResumable = true;
        auto open = route("open", RequestKind::Idempotent, "orders");
        open.needsKey = false;
        result.routes = { resumable, route("chat", RequestKind::Stream, "models"), route("order", RequestKind::Once, "orders"), route("look", RequestKind::Idempotent, "orders"), open };
        result.services = { { .id = ServiceId("models") }, { .id = ServiceId("orders") } };
        result.workspaces = std::vector<KeyedWorkspace> { { .id = WorkspaceId("w"), .keys = { "good-key" } } };
        return result;
    }

    void addServer(const std::string& address, const std::string& service, const std::string& version = "v1", std::uint64_t incarnation = 1)
    {
        BackendRecord record { .id = BackendId(address), .incarnation = Incarnation(incarnation), .sequence = 1, .service = ServiceId(service), .serverName = "name-of-" + address, .softwareVersion = SoftwareVersion(version) };
        record.slots = 8;
        selector.merge(record);
    }

    /** The server announces that it leaves. */
    void leave(const std::string& address, const std::string& service)
    {
        BackendRecord record { .id = BackendId(address), .incarnation = Incarnation(1), .sequence = 2, .state = BackendState::Leaving, .service = ServiceId(service), .serverName = "name-of-" + address, .softwareVersion = SoftwareVersion("v1") };
        record.slots = 8;
        selector.merge(record, monotonicNow());
    }

    /** Confirms the configuration as the newest one; its lease starts now. */
    void confirm(Duration lease) { routing.confirm(routing.version(), monotonicNow(), lease); }

    /** Ends the lease at once, as a suspension of the process past its end does. */
    void expireLease()
    {
        routing = ActiveRouting();
        routing.apply(configuration());
    }

    static HttpRequest request(const std::string& path, const std::string& key = "good-key", const std::string& deadlineMs = "4000")
    {
        HttpRequest http { .method = "POST", .target = path, .fields = {}, .body = "body" };
        http.fields.add("Host", "h.example");
        http.fields.add("Attempt-Id", attemptId);
        http.fields.add("Deadline-Ms", deadlineMs);
        if (!key.empty())
            http.fields.add("Authorization", "Bearer " + key);
        return http;
    }

    /** A correctly signed answer. */
    static Script answer(const std::string& body, unsigned status = 200)
    {
        Script script;
        script.status = status;
        script.fields = { { .name = "Attempt-Id", .value = attemptId }, { .name = "Runner-Seal", .value = "seal" } };
        script.chunks = { body };
        return script;
    }

    /** A correctly signed stream of events. */
    static Script streamOf(const std::vector<std::string>& chunks)
    {
        auto script = answer("");
        script.contentType = "text/event-stream";
        script.chunks = chunks;
        return script;
    }

    /** A server that refuses the request before it executes any of it. */
    static Script rejection()
    {
        Script script;
        script.status = 503;
        script.fields = { { .name = "Not-Executed", .value = "1" } };
        script.chunks = { "" };
        return script;
    }

    /** A call that fails before the header of an answer comes. */
    static Script failure(RouterError error, Verdict verdict)
    {
        Script script;
        script.beginError = make_error_code(error);
        script.beginVerdict = verdict;
        return script;
    }

    /** The script with one more header field. */
    static Script withField(Script script, const std::string& name, const std::string& value)
    {
        script.fields.push_back({ .name = name, .value = value });
        return script;
    }

    /** Serves one more request after run(). */
    void runAgain(const HttpRequest& http)
    {
        loop.restart();
        run(http);
    }

    /** Serves the request and returns once the exchange has ended. */
    void run(const HttpRequest& http)
    {
        auto isDone = false;
        asio::co_spawn(loop, handler.handle(http, writer), [&isDone](const auto&) { isDone = true; });
        while (!isDone) {
            loop.poll();
            admissionQueue.placeWaiting(monotonicNow()); // As the tick of an entry instance does.
            loop.restart();
        }
        loop.run();
    }

    asio::io_context loop;
    SeededRandom random;
    Platform::HeaderCodec codec;
    ActiveRouting routing;
    BackendSelector selector;
    PromptGuard promptGuard;
    RelayPeers relayPeers;
    AsyncAdmissionQueue admissionQueue;
    FakeStreamOrigins streamOrigins;
    FakeUpstream upstream;
    Metrics metrics;
    ForwardingContext context;
    RoutedHandler handler;
    RecordingWriter writer;
};

} // namespace HickoryHollow::Fakes
