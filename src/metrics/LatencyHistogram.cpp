#include "metrics/LatencyHistogram.h"

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <fmt/format.h>

namespace HickoryHollow {

namespace bh = boost::histogram;

namespace {

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using AtomicCount = bh::accumulators::count<std::uint64_t, true>;

constexpr unsigned bucketCount = 40;
constexpr double minSeconds = 0.0001; // Lower bound of the first bucket.
constexpr double maxSeconds = 400; // Upper bound of the last bucket.

auto makeBuckets()
{
    return bh::make_histogram_with(bh::dense_storage<AtomicCount>(), Axis(bucketCount, minSeconds, maxSeconds));
}

} // namespace

struct LatencyHistogram::Counts {
    decltype(makeBuckets()) buckets = makeBuckets();
    std::atomic<std::uint64_t> sumMicroseconds = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_counts(std::make_unique<Counts>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(Duration value)
{
    m_counts->buckets(std::chrono::duration<double>(value).count());
    m_counts->sumMicroseconds += static_cast<std::uint64_t>(value.count());
}

void LatencyHistogram::appendText(std::string& out, std::string_view name, std::string_view labels) const
{
    const auto& buckets = m_counts->buckets;
    std::uint64_t total = buckets.at(-1).value();
    for (int i = 0; i < static_cast<int>(bucketCount); ++i) {
        total += buckets.at(i).value();
        out += fmt::format("{}_bucket{{{},le=\"{:.6g}\"}} {}\n", name, labels, buckets.axis().bin(i).upper(), total);
    }
    total += buckets.at(static_cast<int>(bucketCount)).value();
    out += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, total);
    out += fmt::format("{}_sum{{{}}} {:.6f}\n", name, labels, static_cast<double>(m_counts->sumMicroseconds) / 1e6);
    out += fmt::format("{}_count{{{}}} {}\n", name, labels, total);
}

} // namespace HickoryHollow
