#include "links/AcceptedLinks.h"

namespace HickoryHollow {

std::optional<std::uint64_t> AcceptedLinks::open(std::uint64_t number, TimePoint now)
{
    m_waiting.emplace(now, number);
    if (m_waiting.size() <= m_options.maxWithoutGreeting && m_waiting.size() + m_greeted.size() <= m_options.maxLinks)
        return std::nullopt;
    return m_waiting.begin()->second;
}

void AcceptedLinks::greet(std::uint64_t number)
{
    const auto n = m_waiting.size();
    std::erase_if(m_waiting, [number](const auto& it) { return it.second == number; });
    if (m_waiting.size() < n)
        m_greeted.insert(number);
}

void AcceptedLinks::close(std::uint64_t number)
{
    m_greeted.erase(number);
    std::erase_if(m_waiting, [number](const auto& it) { return it.second == number; });
}

std::optional<std::uint64_t> AcceptedLinks::overdue(TimePoint now) const
{
    if (m_waiting.empty() || now - m_waiting.begin()->first <= m_options.greetingTimeout)
        return std::nullopt;
    return m_waiting.begin()->second;
}

} // namespace HickoryHollow
