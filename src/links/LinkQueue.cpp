#include "links/LinkQueue.h"

#include <algorithm>

namespace HickoryHollow {

void LinkQueue::push(SharedFrame frame)
{
    m_queuedBytes += frame->size();
    m_frames.push_back(std::move(frame));
}

void LinkQueue::pushLatest(LinkSubject subject, FrameSource source)
{
    const auto it = std::find_if(m_latest.begin(), m_latest.end(), [subject](const auto& latest) { return latest.subject == subject; });
    if (it == m_latest.end())
        m_latest.push_back({ .subject = subject, .source = std::move(source) });
    else
        it->source = std::move(source);
}

std::vector<SharedFrame> LinkQueue::take(std::size_t maxBytes)
{
    std::vector<SharedFrame> taken;
    std::size_t n = 0;
    while (!m_frames.empty() && (taken.empty() || n + m_frames.front()->size() <= maxBytes)) {
        n += m_frames.front()->size();
        taken.push_back(std::move(m_frames.front()));
        m_frames.pop_front();
    }
    m_queuedBytes -= n;
    while (taken.empty() && !m_latest.empty()) {
        const auto source = std::move(m_latest.front().source);
        m_latest.pop_front();
        if (auto frame = source())
            taken.push_back(std::move(frame));
    }
    return taken;
}

} // namespace HickoryHollow
