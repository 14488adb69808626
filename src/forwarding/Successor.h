/** \file
 * A further attempt that is asked for while a silent one still runs. The silent one may go on at any moment, and the further one may
 * be refused, so the silent one ends only once the further one has been accepted. The further one takes the place of one that has ended
 * and may get a successor itself. At most two attempts of a request are open.
 */
#pragma once

#include "forwarding/AttemptTrace.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"
#include "placement/AdmissionQueue.h"
#include "placement/RelayPeers.h"

#include <memory>
#include <optional>
#include <string_view>

namespace HickoryHollow {

struct Successor {
    enum class State {
        Opening, ///< Not answered yet.
        Accepted, ///< The header of an answer that can be relayed has come; `head` is valid.
        Over, ///< Refused, failed or cancelled; its outcome has been reported.
    };

    explicit Successor(const Executor& executor)
        : ended(executor, Timer::time_point::max())
    {
    }

    /** Gives the attempt up, if it has not been answered. */
    void giveUp()
    {
        if (state != State::Opening || !cancelCause.empty())
            return;
        cancelCause = "not-needed";
        call->cancel();
    }

    std::optional<AdmissionQueue::Grant> grant; ///< Nothing if another instance relays the request.
    InstanceId peer; ///< That instance; empty if there is a grant.
    std::unique_ptr<UpstreamCall> call;
    AttemptTrace::Index attempt = 0;
    TimePoint begunAt {};
    RelayOutcome relayOutcome = RelayOutcome::Answered; ///< Of an attempt through another instance.
    std::optional<TimePoint> sentAt; ///< Time at which the first byte of the request was sent.
    UpstreamHead head;
    State state = State::Opening;
    std::string_view cancelCause; ///< Set if it was given up while opening, for another reason than its silence.
    bool wasSilent = false; ///< It was given up for its own successor.
    Timer ended; ///< Never expires; it is cancelled at the end of `Opening`.
};

} // namespace HickoryHollow
