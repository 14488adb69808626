#include "entry/CallerApi.h"

#include "entry/CallerRequest.h"
#include "http/Refusal.h"
#include "http/ResponseWriter.h"
#include "metrics/Metrics.h"

#include <boost/json.hpp>

namespace HickoryHollow {

namespace {

Refusal notRunRefusal(RouterError error)
{
    return { .error = error, .verdict = Verdict::NotRun, .detail = {}, .retryAfter = std::chrono::seconds(1) };
}

HttpResponse metricsResponse(const Metrics& metrics)
{
    HttpResponse response { .status = 200, .fields = {}, .body = metrics.toText() };
    response.fields.add("Content-Type", "text/plain; version=0.0.4");
    return response;
}

} // namespace

CallerApi::CallerApi(Options options)
    : m_options(std::move(options))
{
}

Task<void> CallerApi::handle(const HttpRequest& request, ResponseWriter& writer)
{
    const auto path = request.path();
    if (path == "/healthz")
        co_await writer.send(jsonResponse(200, R"({"status":"alive"})"));
    else if (path == "/readyz")
        co_await writer.send(readiness());
    else if (path == "/metrics")
        co_await writer.send(metricsResponse(m_options.metrics));
    else if (path == "/v1/models" && request.method == "GET")
        co_await writer.send(listModels(request));
    else
        co_await serveRequest(request, writer);
}

BodyTerms CallerApi::bodyTerms(const HttpRequest& request) const
{
    BodyTerms terms;
    const auto settings = m_options.settings.current(monotonicNow());
    if (const auto* workspace = settings ? findWorkspace(request, settings->inventory) : nullptr)
        terms.owner = workspace->id.value();
    return terms;
}

HttpResponse CallerApi::readiness() const
{
    if (m_isDraining)
        return toResponse(notRunRefusal(RouterError::Draining));
    if (!m_options.settings.current(monotonicNow()))
        return toResponse(notRunRefusal(RouterError::SettingsStale));
    return jsonResponse(200, R"({"status":"ready"})");
}

HttpResponse CallerApi::listModels(const HttpRequest& request) const
{
    const auto settings = m_options.settings.current(monotonicNow());
    if (!settings)
        return toResponse(notRunRefusal(RouterError::SettingsStale));
    if (!findWorkspace(request, settings->inventory)) {
        auto refused = notRunRefusal(RouterError::UnknownWorkspace);
        refused.retryAfter = {};
        return toResponse(refused);
    }
    boost::json::array data;
    for (const auto& [model, service] : settings->inventory.serviceOfModel)
        data.push_back(boost::json::object { { "id", model.value() }, { "object", "model" }, { "owned_by", service.value() } });
    return jsonResponse(200, boost::json::serialize(boost::json::object { { "object", "list" }, { "data", data } }));
}

Task<void> CallerApi::serveRequest(const HttpRequest& request, ResponseWriter& writer)
{
    const auto now = monotonicNow();
    auto settings = m_options.settings.current(now);
    if (m_isDraining || !settings) {
        co_await writer.send(toResponse(notRunRefusal(m_isDraining ? RouterError::Draining : RouterError::SettingsStale)));
        co_return;
    }
    const auto parsed = parseCallerRequest(request, std::move(settings), now);
    if (const auto* refused = std::get_if<Refusal>(&parsed)) {
        co_await writer.send(toResponse(*refused));
        co_return;
    }
    const RunnerContext context {
        .dispatcher = m_options.dispatcher,
        .upstream = m_options.upstreamOfThisLoop(),
        .ledger = m_options.ledger,
        .metrics = m_options.metrics,
        .interrupts = m_options.interruptsOfThisLoop(),
        .answerBytes = m_options.answerBytesOfThisLoop(),
        .processIncarnation = m_options.processIncarnation,
    };
    RequestRunner runner(context, std::get<CallerRequest>(parsed), request, writer);
    co_await runner.run();
}

} // namespace HickoryHollow
