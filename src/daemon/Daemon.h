/** \file
 * One hickoryhollowd process: creates all components from the settings, runs the event loops, and drains on request.
 */
#pragma once

#include "settings/DaemonSettings.h"

#include <memory>

namespace HickoryHollow {

class Daemon {
public:
    /** Opens the listeners and the data folder; throws UserError. */
    explicit Daemon(const DaemonSettings&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /**
     * Serves until a drain ends. SIGTERM or SIGINT starts a drain, a second signal ends it. Returns the number of requests
     * that were aborted, because the drain limit or a second signal came before their end.
     */
    std::size_t run();
    /** Starts a drain, as SIGTERM does. Callable from any thread. */
    void requestDrain();

private:
    struct Components;

    std::unique_ptr<Components> m_components;
};

} // namespace HickoryHollow
