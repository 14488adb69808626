/** \file
 * Names the instances whose reports a state instance keeps.
 */
#pragma once

#include "links/StateMesh.h"

#include <string>

namespace HickoryHollow {

/** Begins the names of all entry instances that are attached here. */
inline const std::string entrySources = "entry-";

inline std::string sourceOf(EntryLinkId id)
{
    return entrySources + std::to_string(id.value());
}

/** Returns the link of an entry instance from the name that sourceOf() gave it. */
inline EntryLinkId entryLinkOf(const std::string& source)
{
    return EntryLinkId(std::stoull(source.substr(entrySources.size())));
}

inline std::string sourceOf(const InstanceId& stateInstance)
{
    return "state-" + stateInstance.value();
}

} // namespace HickoryHollow
