#include "metrics/Metrics.h"

#include <array>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

struct CounterRow {
    std::string_view name;
    std::atomic<std::uint64_t> ClassMetrics::*counter;
};

constexpr std::array counterRows {
    CounterRow { "hickory_requests_total", &ClassMetrics::requests },
    CounterRow { "hickory_repeats_total", &ClassMetrics::repeats },
    CounterRow { "hickory_answered_total", &ClassMetrics::answered },
    CounterRow { "hickory_refused_not_run_total", &ClassMetrics::refusedNotRun },
    CounterRow { "hickory_refused_overload_total", &ClassMetrics::refusedOverload },
    CounterRow { "hickory_failed_may_have_run_total", &ClassMetrics::failedMayHaveRun },
    CounterRow { "hickory_unframed_streams_total", &ClassMetrics::unframedStreams },
    CounterRow { "hickory_attempts_total", &ClassMetrics::attempts },
    CounterRow { "hickory_wasted_attempts_total", &ClassMetrics::wastedAttempts },
    CounterRow { "hickory_retries_total", &ClassMetrics::retries },
    CounterRow { "hickory_first_token_met_total", &ClassMetrics::firstTokenMet },
    CounterRow { "hickory_whole_answer_met_total", &ClassMetrics::wholeAnswerMet },
};

struct HistogramRow {
    std::string_view name;
    LatencyHistogram ClassMetrics::*histogram;
};

constexpr std::array histogramRows {
    HistogramRow { "hickory_first_token_seconds", &ClassMetrics::firstToken },
    HistogramRow { "hickory_whole_answer_seconds", &ClassMetrics::wholeAnswer },
    HistogramRow { "hickory_queueing_seconds", &ClassMetrics::queueing },
};

} // namespace

Metrics::Metrics()
    : m_groups(std::make_shared<const Groups>())
{
}

ClassMetrics& Metrics::forClass(const ClassId& id)
{
    const auto groups = m_groups.load();
    const auto it = groups->find(id);
    if (it != groups->end())
        return *it->second;
    const std::lock_guard lock(m_insertMutex);
    auto next = std::make_shared<Groups>(*m_groups.load());
    const auto group = next->try_emplace(id, std::make_shared<ClassMetrics>()).first->second;
    m_groups.store(next);
    return *group;
}

std::string Metrics::toText() const
{
    const auto groups = m_groups.load();
    std::string out;
    for (const auto& row : counterRows) {
        out += fmt::format("# TYPE {} counter\n", row.name);
        for (const auto& [id, group] : *groups)
            out += fmt::format("{}{{class=\"{}\"}} {}\n", row.name, id.value(), (group.get()->*row.counter).load());
    }
    for (const auto& row : histogramRows) {
        out += fmt::format("# TYPE {} histogram\n", row.name);
        for (const auto& [id, group] : *groups)
            (group.get()->*row.histogram).appendText(out, row.name, fmt::format("class=\"{}\"", id.value()));
    }
    return out;
}

} // namespace HickoryHollow
