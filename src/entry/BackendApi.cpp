#include "entry/BackendApi.h"

#include "base/LogEvent.h"
#include "entry/AnnouncementJson.h"
#include "http/BearerKey.h"
#include "http/Refusal.h"
#include "http/ResponseWriter.h"

namespace HickoryHollow {

namespace {

Refusal notRunRefusal(RouterError error, std::string detail)
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
        co_await writer.send(toResponse(notRunRefusal(RouterError::UnknownPath, "this address serves only POST /v1/backends/announce")));
        co_return;
    }
    if (!m_keySha256.empty() && !hasBearerKey(request, m_keySha256)) {
        co_await writer.send(toResponse(notRunRefusal(RouterError::UnknownWorkspace, "the bearer key is not the backend servers' key")));
        co_return;
    }
    const auto parsed = parseAnnouncement(request.body);
    if (const auto* error = std::get_if<std::string>(&parsed)) {
        logEvent(LogEvent::AnnouncementRejected, "cause={}", *error);
        co_await writer.send(toResponse(notRunRefusal(RouterError::MalformedRequest, *error)));
        co_return;
    }
    const auto outcome = m_sink.announce(std::get<Announcement>(parsed));
    const auto isStale = outcome == BackendDirectory::Outcome::Stale;
    co_await writer.send(jsonResponse(200, isStale ? R"({"accepted":false,"cause":"stale"})" : R"({"accepted":true,"announce_every_ms":500})"));
}

} // namespace HickoryHollow
