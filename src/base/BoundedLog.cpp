#include "base/BoundedLog.h"

#include "base/LogEvent.h"
#include "base/Time.h"

#include <fcntl.h>
#include <memory>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <string>
#include <unistd.h>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxGatheredBytes = 256UL << 10U;
constexpr std::size_t writeAtBytes = 8UL << 10U;
constexpr std::uint32_t maxLinesPerSecond = 400; // An instance of a quarter of a core spends less than a hundredth of it on them.

class BoundedSink final : public spdlog::sinks::base_sink<std::mutex> {
protected:
    void sink_it_(const spdlog::details::log_msg& message) override // NOLINT(readability-identifier-naming)
    {
        const auto now = monotonicNow();
        if (now - m_secondStart >= std::chrono::seconds(1)) {
            m_secondStart = now;
            m_linesInSecond = 0;
        }
        if (++m_linesInSecond > maxLinesPerSecond || m_gathered.size() > maxGatheredBytes) {
            ++m_dropped;
            return;
        }
        noteDropped();
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        m_gathered.append(line.data(), line.size());
        if (m_gathered.size() >= writeAtBytes)
            flush_();
    }

    void flush_() override // NOLINT(readability-identifier-naming)
    {
        if (m_gathered.empty())
            return;
        const auto n = ::write(STDOUT_FILENO, m_gathered.data(), m_gathered.size());
        if (n > 0)
            m_gathered.erase(0, static_cast<std::size_t>(n));
    }

private:
    void noteDropped()
    {
        if (m_dropped == 0)
            return;
        m_gathered += fmt::format("event={} lines={}\n", static_cast<int>(LogEvent::LogLinesDropped), m_dropped);
        m_dropped = 0;
    }

    std::string m_gathered; // Whole lines, but for a first one that was written in part.
    TimePoint m_secondStart {};
    std::uint32_t m_linesInSecond = 0;
    std::uint64_t m_dropped = 0; // Lines since the last one that was kept.
};

} // namespace

void useBoundedLog()
{
    const auto flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    auto logger = std::make_shared<spdlog::logger>("", std::make_shared<BoundedSink>());
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%f %v");
    spdlog::set_default_logger(std::move(logger));
}

void flushLog()
{
    spdlog::default_logger_raw()->flush();
}

} // namespace HickoryHollow
