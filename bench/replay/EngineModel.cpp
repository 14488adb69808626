#include "replay/EngineModel.h"

#include "placement/EnginePrefixCache.h"

#include <algorithm>

namespace HickoryHollow::Replay {

void EngineModel::submit(EngineRequest request)
{
    const auto at = std::find_if(m_waiting.begin(), m_waiting.end(), [&request](const auto& it) { return it.request.priority > request.priority; });
    m_waiting.insert(at, Run { .request = std::move(request) });
}

void EngineModel::cancel(std::uint64_t id)
{
    const auto isIt = [id](const auto& it) { return it.request.id == id; };
    m_waiting.remove_if(isIt);
    m_running.remove_if(isIt);
}

std::uint32_t EngineModel::keptTokens(const Prompt& prompt) const
{
    std::uint32_t kept = 0;
    for (const auto& it : prefixesOf(prompt)) {
        if (!m_kept.contains(it.hash))
            break;
        kept = it.tokens;
    }
    return std::min(kept, prompt.tokens);
}

void EngineModel::keep(const Prompt& prompt)
{
    const auto prefixes = prefixesOf(prompt);
    for (std::size_t i = 0; i < prefixes.size(); ++i) {
        const auto hash = prefixes[i].hash;
        const auto known = m_kept.find(hash);
        if (known != m_kept.end()) {
            m_keptByUse.splice(m_keptByUse.begin(), m_keptByUse, known->second.use);
            continue;
        }
        m_keptByUse.push_front(hash);
        m_kept.emplace(hash, Kept { .tokens = prompt.parts[i].tokens, .use = m_keptByUse.begin() });
        m_keptTokens += prompt.parts[i].tokens;
    }
    while (m_keptTokens > m_options.tokenCapacity) {
        const auto oldest = m_kept.find(m_keptByUse.back());
        m_keptTokens -= oldest->second.tokens;
        m_kept.erase(oldest);
        m_keptByUse.pop_back();
    }
}

void EngineModel::noteReading(const Prompt& prompt, std::uint32_t kept)
{
    m_tokensRead += prompt.tokens - kept;
    const auto prefixes = prefixesOf(prompt);
    for (std::size_t i = 0; i + 1 < prefixes.size(); ++i) {
        const auto isRead = prefixes[i].tokens > kept;
        if (isRead && m_readBefore && !m_readBefore->insert(prefixes[i].hash).second)
            m_tokensReread += prompt.parts[i].tokens;
    }
}

void EngineModel::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        auto run = std::move(m_waiting.front());
        m_waiting.pop_front();
        const auto kept = keptTokens(run.request.prompt);
        run.unread = std::max(1U, run.request.prompt.tokens - kept);
        noteReading(run.request.prompt, kept);
        m_running.push_back(std::move(run));
    }
}

double EngineModel::readingMilliseconds(const Run& run, std::uint32_t chunk) const
{
    const auto position = run.request.prompt.tokens - run.unread + chunk / 2;
    return chunk / m_options.tokensPerMillisecond * (1 + position / m_options.attentionTokens);
}

std::vector<EnginePiece> EngineModel::advance(TimePoint now, double slowness)
{
    std::vector<EnginePiece> pieces;
    for (;;) {
        admit();
        if (m_running.empty()) {
            m_stepStart = now;
            return pieces;
        }
        const auto reader = std::find_if(m_running.begin(), m_running.end(), [](const auto& it) { return it.isReading; });
        const auto chunk = reader == m_running.end() ? 0 : std::min(reader->unread, m_options.chunkTokens);
        const auto writers = std::count_if(m_running.begin(), m_running.end(), [](const auto& it) { return !it.isReading; });
        const auto reading = chunk > 0 ? readingMilliseconds(*reader, chunk) : 0.0;
        const auto milliseconds = m_options.stepMilliseconds + m_options.stepMillisecondsPerRunning * static_cast<double>(writers) + reading;
        const auto end = m_stepStart + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds * slowness));
        if (end > now)
            return pieces;
        m_stepStart = end;
        finishStep(end, chunk, pieces);
    }
}

void EngineModel::finishStep(TimePoint at, std::uint32_t chunk, std::vector<EnginePiece>& pieces)
{
    auto isChunkTaken = chunk == 0;
    for (auto it = m_running.begin(); it != m_running.end();) {
        auto& run = *it;
        if (run.isReading && isChunkTaken) {
            ++it;
            continue;
        }
        if (run.isReading) {
            isChunkTaken = true;
            run.unread -= chunk;
            if (run.unread > 0) {
                ++it;
                continue;
            }
            run.isReading = false;
            keep(run.request.prompt);
        }
        ++run.written;
        const auto isFirst = run.written == 1;
        const auto isLast = run.written >= run.request.outputTokens;
        if (isFirst || isLast || run.written % m_options.tokensPerPiece == 0)
            pieces.push_back({ .id = run.request.id, .at = at, .isFirst = isFirst, .isLast = isLast });
        it = isLast ? m_running.erase(it) : std::next(it);
    }
}

} // namespace HickoryHollow::Replay
