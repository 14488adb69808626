#include "entry/BackendApi.h"

#include "base/LogEvent.h"
#include "entry/AnnouncementJson.h"
#include "http/BearerKey.h"
#include "http/Refusal.h"
#include "http/ResponseWriter.h"

namespace HickoryHollow {

namespace {

Refusal rejected(RouterError error, std::string detail)
{
    return { .error = error, .verdict = Verdict::NotRun, .detail = std::move(detail), .retryAfter = {} };
}

} // namespace

BackendApi::BackendApi(AnnouncementSink& sink, std::string keySha256)
    : m_sink(sink)
    , m_keySha256(std::move(keySha256))
{
}

Task<void> BackendApi::handle(const HttpRequest& request, ResponseWriter& writer)
{
    if (request.path() != "/v1/backends/announce" || request.method != "POST") {
        co_await writer.send(toResponse(rejected(RouterError::UnknownPath, "only POST /v1/backends/announce is here")));
        co_return;
    }
    if (!m_keySha256.empty() && !hasBearerKey(request, m_keySha256)) {
        co_await writer.send(toResponse(rejected(RouterError::UnknownWorkspace, "the key of backend servers is wrong")));
        co_return;
    }
    const auto parsed = parseAnnouncement(request.body);
    if (const auto* fault = std::get_if<std::string>(&parsed)) {
        logEvent(LogEvent::AnnouncementRejected, "cause={}", *fault);
        co_await writer.send(toResponse(rejected(RouterError::MalformedRequest, *fault)));
        co_return;
    }
    const auto outcome = m_sink.announce(std::get<Announcement>(parsed));
    const auto isStale = outcome == BackendDirectory::Outcome::Stale;
    co_await writer.send(jsonResponse(200, isStale ? R"({"accepted":false,"cause":"stale"})" : R"({"accepted":true,"announce_every_ms":500})"));
}

} // namespace HickoryHollow
