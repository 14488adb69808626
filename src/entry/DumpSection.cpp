#include "entry/DumpSection.h"

#include "entry/Dispatcher.h"
#include "entry/FleetView.h"

#include <boost/json.hpp>

namespace HickoryHollow {

namespace json = boost::json;

namespace {

json::value describeServer(const ServerTable& table, const ServerTable::Server& server)
{
    json::array pools;
    for (const auto& pool : server.info.pools) {
        pools.push_back(json::object {
            { "pool", pool.value() },
            { "slowness", table.stragglers().slowness(pool, server.info.id) },
            { "ejected", table.stragglers().isEjected(pool, server.info.id) },
        });
    }
    return json::object {
        { "backend", server.info.id.value() },
        { "takes_work", server.takesWork },
        { "slots", server.info.slots },
        { "running_estimate", server.load.running() },
        { "own_in_flight", server.load.ownInFlight() },
        { "pools", pools },
    };
}

json::value describeScheduler(const Scheduler& scheduler)
{
    json::array servers;
    for (const auto& [id, server] : scheduler.servers().servers())
        servers.push_back(describeServer(scheduler.servers(), server));
    return json::object {
        { "queued", scheduler.queued() },
        { "queued_bytes", scheduler.queuedBytes() },
        { "running", scheduler.running() },
        { "servers", servers },
    };
}

json::value describeBackend(const BackendRecord& record, const InstanceId& owner)
{
    json::array models;
    for (const auto& it : record.models)
        models.push_back(json::value(it.value()));
    return json::object {
        { "backend", record.id.value() },
        { "state", std::string(toString(record.state)) },
        { "service", record.service.value() },
        { "models", models },
        { "failure_domain", record.failureDomain.value() },
        { "slots", record.slots },
        { "incarnation", record.incarnation.value() },
        { "sequence", record.sequence },
        { "home", owner.value() },
    };
}

} // namespace

DumpSection schedulerSection(const Dispatcher& dispatcher)
{
    return { .name = "scheduler", .read = [&dispatcher] {
                json::value value;
                dispatcher.inspect([&value](const Scheduler& scheduler) { value = describeScheduler(scheduler); });
                return value;
            } };
}

DumpSection backendSection(const FleetView& fleet)
{
    return { .name = "backends", .read = [&fleet] {
                json::array backends;
                for (const auto& record : fleet.all())
                    backends.push_back(describeBackend(record, fleet.ownerOf(record.id)));
                return json::value(backends);
            } };
}

} // namespace HickoryHollow
