/** \file
 * The backend servers that one entry instance knows, by id, by handle, by service and by software version.
 */
#pragma once

#include "placement/KnownServer.h"
#include "placement/LoadOrder.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace HickoryHollow {

/** The servers of one service, or those of one version of its software. */
struct ServerGroup {
    std::vector<KnownServer*> members; ///< Ordered by id.
    std::size_t serving = 0; ///< Number of members that serve.
    std::uint64_t revision = 0; ///< Grows when a member comes, goes or changes its state.
    std::optional<LoadOrder> byLoad; ///< All members, if the group is large.
    std::optional<VersionId> firstVersion; ///< Of the first member there was.
    bool hadSeveralVersions = false; ///< At some time, one after the other or at once.
};

class KnownServers {
public:
    /** Returns the server, or null if it is unknown. */
    KnownServer* find(const BackendId&) const;
    KnownServer& at(ServerHandle server) const { return *m_byHandle[server.value()]; }
    /** Returns the server, which is added without a record if it is unknown. */
    KnownServer& findOrAdd(const BackendId&);
    /** Sets the record of a server, and what follows from it. */
    void setRecord(KnownServer&, const BackendRecord&);
    void setState(KnownServer&, BackendState);

    /** The servers of the service; an empty group if there are none. */
    const ServerGroup& ofService(const ServiceId&) const;
    const ServerGroup& ofVersion(VersionId) const;
    ServerGroup* findService(const ServiceId&);
    ServerGroup* findVersion(VersionId);
    const std::map<ServiceId, ServerGroup>& services() const { return m_byService; }
    /** All servers by id. */
    const std::map<BackendId, std::unique_ptr<KnownServer>>& all() const { return m_byId; }

private:
    static void insert(ServerGroup&, KnownServer&);
    static void erase(ServerGroup&, KnownServer&);

    std::map<BackendId, std::unique_ptr<KnownServer>> m_byId;
    std::vector<KnownServer*> m_byHandle;
    std::map<ServiceId, ServerGroup> m_byService;
    std::map<VersionId, ServerGroup> m_byVersion; // A version belongs to one service.
};

} // namespace HickoryHollow
