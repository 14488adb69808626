/** \file
 * Where operators' changes of the settings go.
 */
#pragma once

#include "base/Ids.h"
#include "net/Task.h"
#include "settings/RoutingSettings.h"

#include <string>

namespace HickoryHollow {

/** A change that an operator submits. Resent with the same id, it gets the outcome of the first time. */
struct SettingsChange {
    ChangeId id;
    std::string author; ///< Shown to whoever loses a race against this change.
    SettingsVersion expected; ///< Version that the change was made from.
    SettingsText text;
};

struct SettingsOutcome {
    enum class Kind {
        Accepted, ///< On a quorum of disks, as `version`.
        Conflict, ///< Another change became `version`, by `author`.
        Unavailable, ///< Not known; resend with the same id.
    };

    Kind kind = Kind::Unavailable;
    SettingsVersion version;
    std::string author;
};

class SettingsStore {
public:
    virtual ~SettingsStore() = default;
    virtual Task<SettingsOutcome> submit(const SettingsChange&) = 0;
};

} // namespace HickoryHollow
