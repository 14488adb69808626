/** \file
 * Estimates when a request that is sent to an engine now would end, from the times that earlier ones took. Does no I/O and
 * reads no clock.
 *
 * The model is for engines that prefill long prompts without a pause: each step then serves one more prompt, so that every
 * running request takes longer, and none may end by its caller's deadline. Requests in progress at the engine are known from
 * reports that are some hundred milliseconds old, which is little against the seconds that a request takes at such an
 * engine, whereas the number of prompt tokens that await prefill changes several times within that age. At a saturated engine the
 * time in progress is proportional to the number of requests (Little's law), so one factor for each class is learned.
 *
 * One of several hundred instances sees less than one end of a class in a second, too few to follow the start of a burst. So the
 * instances exchange sums of what ended, and each goes by the fleet's ends or by its own, whichever are more.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace HickoryHollow {

/** Requests of one class that ended at engines: a sum that instances exchange. */
struct ClassCompletions {
    ServiceId service;
    std::uint32_t priority = 0;
    std::uint32_t ended = 0; ///< Number of requests.
    Duration took {}; ///< Sum of CompletionModel::Sample::took.
    double requests = 0; ///< Sum of CompletionModel::Sample::requests.
    Duration least {}; ///< Lowest CompletionModel::Sample::took.

    /** Adds the sums of the same class. */
    void add(const ClassCompletions&);
};

/** Times that the requests of each class took at engines. Bounded by the services and priorities of the configuration. */
class CompletionModel {
public:
    /** One request that ended at an engine, with its answer or because its deadline passed. */
    struct Sample {
        Duration took {}; ///< Time from the start of the call to its end.
        double requests = 1; ///< Mean number of requests in progress at the engine during the call, this one included.
    };

    /** Records a request that arrived; `callerTimeout` is the time that its caller waits for the answer. */
    void recordArrival(const ServiceId&, std::uint32_t priority, Duration callerTimeout);
    void recordEnd(const ServiceId&, std::uint32_t priority, const Sample&, TimePoint now);
    /** Returns the sums of the own requests that ended since the last call, for the other instances. */
    std::vector<ClassCompletions> takeCompletions();
    /** Records sums of all instances, the own ones included. Classes of which no request arrived here are ignored. */
    void recordFleet(const std::vector<ClassCompletions>&, TimePoint now);
    /**
     * Estimated time until a request ends that is one of `requests` at its engine. Nothing while too few requests of the
     * class ended recently.
     */
    std::optional<Duration> timeToEnd(const ServiceId&, std::uint32_t priority, double requests, TimePoint now) const;
    /**
     * Largest number of requests at an engine with which this class and all that are more urgent end in time, with some
     * time to spare; nothing while that is unknown.
     */
    std::optional<double> maxRequests(const ServiceId&, std::uint32_t priority, TimePoint now) const;
    /** Returns true if requests of some class of the service took a large part of their callers' time recently. */
    bool isStrained(const ServiceId&, TimePoint now) const;
    /** Returns true if a caller that has this much time has waited before: it has clearly less than is usual in its class. */
    bool isReturning(const ServiceId&, std::uint32_t priority, Duration callerTimeout) const;

private:
    /** Decaying sums of samples. */
    struct Sums {
        double seconds = 0; ///< Of Sample::took.
        double requests = 0; ///< Of Sample::requests.
        double samples = 0; ///< Number of samples.
        TimePoint lastEndAt {};

        void add(const ClassCompletions&, TimePoint now);
        bool isKnown(TimePoint now) const;
    };

    struct Class {
        Duration usualTimeout {}; ///< Moving average; zero before the first arrival.
        double leastSeconds = 0; ///< Lowest Sample::took; rises slowly, so that it follows changes of the load's kind.
        Sums own;
        Sums fleet;
        ClassCompletions unreported; ///< Since the last takeCompletions().

        /** Returns the sums of more samples; nothing if both are of too few, or of long ago. */
        const Sums* recent(TimePoint now) const;
        void lowerLeast(const ClassCompletions&);
    };

    /** Returns this share of the callers' time; more if requests take so long without load. */
    static double secondsAt(const Class&, double share);

    std::map<ServiceId, std::map<std::uint32_t, Class>> m_classes; ///< By priority.
};

} // namespace HickoryHollow
