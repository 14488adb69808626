/** \file
 * Interface of the store that takes operators' changes of the settings.
 */
#pragma once

#include "base/Ids.h"
#include "net/Task.h"
#include "settings/RoutingSettings.h"

#include <string>

namespace HickoryHollow {

/** A change that an operator submits. Submitted again with the same id, it gets the outcome of the first submission. */
struct SettingsChange {
    ChangeId id;
    std::string author; ///< Shown to an operator whose change conflicts with this one.
    SettingsVersion expected; ///< Version that the change is based on.
    SettingsText text;
};

struct SettingsOutcome {
    enum class Kind {
        Accepted, ///< The change is on disk at a quorum, as `version`.
        Conflict, ///< Another change, by `author`, has already become `version`.
        Unavailable, ///< The outcome is not known; submit again with the same id.
    };

    Kind kind = Kind::Unavailable;
    SettingsVersion version;
    std::string author;
};

class SettingsStore {
public:
    virtual ~SettingsStore() = default;
    /** Submits the change; it is accepted only if `expected` is still the latest version. */
    virtual Task<SettingsOutcome> submit(const SettingsChange&) = 0;
};

} // namespace HickoryHollow
