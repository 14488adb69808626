/** \file
 * The data folder on a real disk. One process at a time: the folder is locked.
 */
#pragma once

#include "storage/FileSystem.h"

namespace HickoryHollow {

/** Opens and locks `folder`, creating it where there is none. Throws UserError naming the folder. */
std::unique_ptr<FileSystem> openDataFolder(const std::string& folder);

} // namespace HickoryHollow
