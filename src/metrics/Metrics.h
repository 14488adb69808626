/** \file
 * The metrics of one process, one group a class, readable while requests count into them.
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

    /** Group of the class; made at the first call. Lock-free for classes that are known. */
    ClassMetrics& of(const ClassId&);
    /** All metrics in the usual text format. */
    std::string toText() const;

private:
    using Groups = std::map<ClassId, std::shared_ptr<ClassMetrics>>;

    std::mutex m_makers;
    Snapshot<Groups> m_groups; // Groups are added and never removed.
};

} // namespace HickoryHollow
