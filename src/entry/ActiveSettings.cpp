#include "entry/ActiveSettings.h"

namespace HickoryHollow {

ActiveSettings::ActiveSettings()
    : m_settings(nullptr)
{
}

std::shared_ptr<const RoutingSettings> ActiveSettings::current(TimePoint now) const
{
    return isLeaseValid(now) ? m_settings.load() : nullptr;
}

bool ActiveSettings::apply(std::shared_ptr<const RoutingSettings> settings)
{
    const auto previous = m_settings.load();
    if (previous && settings->version <= previous->version)
        return false;
    m_settings.store(std::move(settings));
    return true;
}

void ActiveSettings::extendLease(TimePoint until)
{
    const auto next = until.time_since_epoch().count();
    auto current = m_leaseUntil.load();
    while (current < next && !m_leaseUntil.compare_exchange_weak(current, next)) { }
}

} // namespace HickoryHollow
