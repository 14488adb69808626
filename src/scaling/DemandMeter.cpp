#include "scaling/DemandMeter.h"

namespace HickoryHollow {

namespace {

constexpr Duration stepLength = std::chrono::milliseconds(100);
constexpr Duration reportInterval = std::chrono::milliseconds(500);

std::int64_t stepNumber(TimePoint time)
{
    return time.time_since_epoch() / stepLength;
}

} // namespace

DemandMeter::Wait::Wait(DemandMeter* meter, const ServiceId& service)
    : m_meter(meter)
    , m_service(service)
{
    if (m_meter)
        ++m_meter->m_services[m_service].waiting;
}

DemandMeter::Wait::~Wait()
{
    if (m_meter)
        --m_meter->m_services[m_service].waiting;
}

DemandMeter::Step& DemandMeter::stepOf(const ServiceId& service, TimePoint now)
{
    const auto number = stepNumber(now);
    auto& steps = m_services[service].steps;
    auto& step = steps[static_cast<std::size_t>(number) % steps.size()];
    if (step.number != number)
        step = { .number = number };
    return step;
}

void DemandMeter::recordArrival(const ServiceId& service, TimePoint now)
{
    ++stepOf(service, now).arrivals;
}

void DemandMeter::recordSent(const ServiceId& service, std::uint64_t promptTokens, TimePoint now)
{
    stepOf(service, now).promptTokens += promptTokens;
}

void DemandMeter::recordRefused(const ServiceId& service, TimePoint now)
{
    ++stepOf(service, now).refused;
}

bool DemandMeter::isReportDue(TimePoint now) const
{
    return now - m_reportedAt >= reportInterval;
}

std::vector<ServiceDemand> DemandMeter::takeReport(TimePoint now)
{
    m_reportedAt = now;
    const auto present = stepNumber(now);
    std::vector<ServiceDemand> report;
    std::erase_if(m_services, [&report, present](const auto& it) {
        const auto& [id, service] = it;
        ServiceDemand demand { .service = id, .waiting = service.waiting };
        auto isRecent = service.waiting > 0;
        for (const auto& step : service.steps) {
            isRecent = isRecent || step.number >= present - static_cast<std::int64_t>(stepsInSecond);
            if (step.number >= present || step.number < present - static_cast<std::int64_t>(stepsInSecond))
                continue;
            demand.arrivals += step.arrivals;
            demand.promptTokens += step.promptTokens;
            demand.refused += step.refused;
        }
        if (demand != ServiceDemand { .service = id })
            report.push_back(demand);
        return !isRecent;
    });
    return report;
}

} // namespace HickoryHollow
