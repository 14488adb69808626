/** \file
 * The data folder in a POSIX file system.
 */
#pragma once

#include "storage/FileSystem.h"

namespace HickoryHollow {

/**
 * Opens `folder` and creates it when it does not exist. The folder stays locked against other processes until the result is
 * destroyed. Throws UserError, which names the folder, when it cannot be opened or another process has locked it.
 */
std::unique_ptr<FileSystem> openDataFolder(const std::string& folder);

} // namespace HickoryHollow
