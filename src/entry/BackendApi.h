/** \file
 * The backend servers' interface: they announce, renew and leave with `POST /v1/backends/announce`.
 */
#pragma once

#include "http/HttpHandler.h"
#include "membership/Announcement.h"
#include "membership/BackendDirectory.h"

#include <string>

namespace HickoryHollow {

/** Where announcements go. */
class AnnouncementSink {
public:
    virtual ~AnnouncementSink() = default;
    virtual BackendDirectory::Outcome announce(const Announcement&) = 0;
};

class BackendApi final : public HttpHandler {
public:
    /** `keySha256` is empty where announcements need no key. */
    BackendApi(AnnouncementSink&, std::string keySha256);

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;

private:
    AnnouncementSink& m_sink;
    std::string m_keySha256;
};

} // namespace HickoryHollow
