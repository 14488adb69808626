/** \file
 * The metrics of one process, grouped by request class. They can be read while requests update them.
 */
#pragma once

#include "base/Ids.h"
#include "base/Snapshot.h"
#include "metrics/ClassMetrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace HickoryHollow {

class Metrics {
public:
    Metrics();

    /** Metrics of the class, created at the first call. Takes a lock only to create them. The reference stays valid. */
    ClassMetrics& forClass(const ClassId&);
    /** All metrics in Prometheus text format. */
    std::string toText() const;

private:
    using Groups = std::map<ClassId, std::shared_ptr<ClassMetrics>>;

    std::mutex m_insertMutex;
    Snapshot<Groups> m_groups; // Groups are added and never removed.
};

} // namespace HickoryHollow
