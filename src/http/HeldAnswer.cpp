#include "http/HeldAnswer.h"

#include <algorithm>

namespace HickoryHollow {

HeldAnswer::HeldAnswer(BufferBudget& budget, std::size_t length, const BufferBudget::Share::OnWithdrawn& withdrawn)
    : m_share(budget, withdrawn ? BufferBudget::Share::OnWithdrawn([this, withdrawn] {
        std::string().swap(m_text);
        withdrawn(); }) : BufferBudget::Share::OnWithdrawn())
    , m_length(length)
{
}

bool HeldAnswer::grow(std::size_t size)
{
    const auto present = m_text.empty() ? 0 : m_text.capacity();
    const auto wanted = std::max({ size, m_length, 2 * m_text.size() });
    if (!m_share.resize(std::max(wanted, present + wanted))) // The sum may overflow.
        return false;
    m_text.reserve(wanted);
    m_share.resize(m_text.capacity());
    return true;
}

std::string HeldAnswer::take()
{
    m_share.keep();
    return std::move(m_text);
}

bool HeldAnswer::append(std::string_view bytes)
{
    if (m_share.isWithdrawn())
        return false;
    const auto size = m_text.size() + bytes.size();
    if (size > m_text.capacity() && !grow(size))
        return false;
    m_text.append(bytes);
    return true;
}

} // namespace HickoryHollow
