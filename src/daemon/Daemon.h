/** \file
 * One running instance: builds every part from the settings, runs the event loops, and drains on request.
 */
#pragma once

#include "settings/DaemonSettings.h"

#include <memory>

namespace HickoryHollow {

class Daemon {
public:
    /** Opens listeners and data folder; throws UserError. */
    explicit Daemon(const DaemonSettings&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Serves until a drain ends. Returns the number of requests that the drain limit or a second signal cut. */
    std::size_t run();
    /** Does what SIGTERM does; callable from any thread. */
    void requestDrain();

private:
    struct Parts;

    std::unique_ptr<Parts> m_parts;
};

} // namespace HickoryHollow
