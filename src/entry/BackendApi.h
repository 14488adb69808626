/** \file
 * HTTP interface for backend servers, which register, renew their lease and deregister with
 * `POST /v1/backends/announce`.
 */
#pragma once

#include "http/HttpHandler.h"
#include "membership/Announcement.h"
#include "membership/BackendDirectory.h"

#include <string>

namespace HickoryHollow {

/** Receives the announcements of backend servers. */
class AnnouncementSink {
public:
    virtual ~AnnouncementSink() = default;
    /** Records the announcement. `Stale` means that a newer record of the backend server is kept instead. */
    virtual BackendDirectory::Outcome announce(const Announcement&) = 0;
};

class BackendApi final : public HttpHandler {
public:
    /** `keySha256` is the SHA-256, in hexadecimal, of the bearer key of announcements; if it is empty, none is needed. */
    BackendApi(AnnouncementSink&, std::string keySha256);

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;

private:
    AnnouncementSink& m_sink;
    std::string m_keySha256;
};

} // namespace HickoryHollow
