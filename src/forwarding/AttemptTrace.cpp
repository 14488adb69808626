#include "forwarding/AttemptTrace.h"

#include <fmt/format.h>

namespace HickoryHollow {

namespace {

template <typename Number>
std::string textOf(std::optional<Number> number)
{
    return number ? std::to_string(*number) : "-";
}

std::string_view framingOf(std::optional<bool> isUnframed)
{
    if (!isUnframed)
        return "-";
    return *isUnframed ? "unframed" : "framed";
}

} // namespace

AttemptTrace::Index AttemptTrace::begin(std::string_view target, std::optional<std::uint64_t> after, TimePoint now)
{
    if (m_size < maxKept)
        m_attempts.push_back({ .target = std::string(target), .after = after, .first = {}, .begunAt = now });
    return m_size++;
}

void AttemptTrace::recordAnswer(Index index, bool isUnframed, std::optional<Duration> ranFor)
{
    if (index >= m_attempts.size())
        return;
    m_attempts[index].isUnframed = isUnframed;
    m_attempts[index].ranFor = ranFor;
}

void AttemptTrace::recordEvents(Index index, std::optional<std::uint64_t> first, std::uint64_t events)
{
    if (index >= m_attempts.size())
        return;
    m_attempts[index].first = first;
    m_attempts[index].events = events;
}

void AttemptTrace::end(Index index, std::string_view cause, TimePoint now)
{
    if (index >= m_attempts.size())
        return;
    m_attempts[index].cause = cause;
    m_attempts[index].took = now - m_attempts[index].begunAt;
}

std::string AttemptTrace::toText() const
{
    std::string text;
    for (const auto& it : m_attempts) {
        const auto ranFor = it.ranFor ? std::optional(*it.ranFor / std::chrono::milliseconds(1)) : std::nullopt;
        text += fmt::format("{}{}/{}/{}/{}/{}/{}/{}/{}", text.empty() ? "" : ",", it.target, it.cause, textOf(it.after), textOf(it.first), it.events, it.took / std::chrono::milliseconds(1), framingOf(it.isUnframed), textOf(ranFor));
    }
    return text;
}

} // namespace HickoryHollow
