/** \file
 * Finds requests that crash every backend server, with CrashSuspects, from what all instances observe. What requests may have in
 * common is the start of their prompt and, for repeats, the whole request. Performs no I/O and reads no clock.
 */
#pragma once

#include "placement/CrashSuspects.h"
#include "placement/PromptGuard.h"
#include "scheduling/BackendInfo.h"

#include <map>
#include <vector>

namespace HickoryHollow {

struct CallerRequest;

class RequestQuarantine {
public:
    /** Sets the known starts of backend servers, which tell a repeated crash from one crash that ends several answers. */
    void setBackends(const std::vector<BackendInfo>&);
    /** The server, which got the request `sentFor` before, ended the connection before its answer was complete. */
    void recordBroken(const CallerRequest&, const BackendId&, Duration sentFor, TimePoint now);
    /** A server answered the request to the end. */
    void recordAnswered(const CallerRequest&, TimePoint now);
    /** Returns true if the request must not be sent. */
    bool contains(const CallerRequest&) const;

    /** Takes over observations of another instance. */
    void receive(const PromptEvidence&, TimePoint now);
    /** Takes over the own observations, and returns them for the other instances. */
    PromptEvidence takeEvidence(TimePoint now);
    /** Returns what an instance that joins has to know. */
    PromptEvidence quarantined() const;
    /** Applies the rules of CrashSuspects. Call several times per second. */
    CrashSuspects::Changes update(TimePoint now);

private:
    std::map<BackendId, Incarnation> m_incarnations;
    PromptGuard m_guard;
    CrashSuspects m_suspects;
};

} // namespace HickoryHollow
