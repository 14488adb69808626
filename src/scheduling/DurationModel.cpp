#include "scheduling/DurationModel.h"

#include <algorithm>
#include <cmath>

namespace HickoryHollow {

namespace {

constexpr double bucketsPerDoubling = 4;
constexpr double maxTotalCount = 4000; // All counts are halved when their sum exceeds this.
constexpr std::size_t maxWorkspaces = 1024; // Per class, to bound memory; further workspaces use the histogram of their class.

} // namespace

void DecayingHistogram::add(Duration value)
{
    const auto milliseconds = std::max(1.0, static_cast<double>(value.count()) / 1000.0);
    const auto bucket = static_cast<std::size_t>(std::log2(milliseconds) * bucketsPerDoubling);
    m_counts.at(std::min(bucket, bucketCount - 1)) += 1;
    m_total += 1;
    if (m_total <= maxTotalCount)
        return;
    for (auto& it : m_counts)
        it /= 2;
    m_total /= 2;
}

std::optional<Duration> DecayingHistogram::quantile(double q) const
{
    if (m_total < minSamples)
        return std::nullopt;
    double below = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucketCount && below + m_counts.at(bucket) < q * m_total) {
        below += m_counts.at(bucket);
        ++bucket;
    }
    const auto milliseconds = std::exp2(static_cast<double>(bucket + 1) / bucketsPerDoubling);
    return Duration(static_cast<Duration::rep>(milliseconds * 1000));
}

void DurationModel::add(const ClassId& requestClass, const WorkspaceId& workspace, Duration value)
{
    auto& model = m_classes[requestClass];
    model.all.add(value);
    if (model.workspaces.size() < maxWorkspaces || model.workspaces.contains(workspace))
        model.workspaces[workspace].add(value);
}

std::optional<Duration> DurationModel::quantile(const ClassId& requestClass, const WorkspaceId& workspace, double q) const
{
    const auto model = m_classes.find(requestClass);
    if (model == m_classes.end())
        return std::nullopt;
    const auto byWorkspace = model->second.workspaces.find(workspace);
    if (byWorkspace != model->second.workspaces.end()) {
        if (const auto value = byWorkspace->second.quantile(q))
            return value;
    }
    return model->second.all.quantile(q);
}

} // namespace HickoryHollow
