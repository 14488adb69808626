/** \file
 * How one entry instance chooses engines in a replay: the product's decisions, or a plain way to compare them with.
 */
#pragma once

#include "base/Time.h"
#include "placement/AdmissionQueue.h"
#include "placement/BackendSelector.h"
#include "replay/EngineModel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace HickoryHollow::Replay {

/** What a policy hears of a request. */
struct Offer {
    std::uint64_t id = 0;
    PlacementRequest request;
    Duration target {}; ///< For the first piece.
    Duration patience {};
};

struct Verdict {
    enum class Kind {
        Send,
        Refuse,
    };

    std::uint64_t id = 0;
    Kind kind = Kind::Send;
    std::uint32_t engine = 0;
    Duration returnAfter {}; ///< Of a refusal.
};

class Policy {
public:
    virtual ~Policy() = default;
    virtual void offer(const Offer&, TimePoint now) = 0;
    /** Verdicts on offers, also on earlier ones. */
    virtual std::vector<Verdict> decide(TimePoint now) = 0;
    virtual void firstPiece(std::uint64_t id, TimePoint now) = 0;
    virtual void end(std::uint64_t id, bool isAnswered, TimePoint now) = 0;
    virtual std::map<BackendId, ServerUsage> localUsage() const = 0;
    virtual void takeOtherUse(const std::map<BackendId, ServerUsage>&, TimePoint now) = 0;
    virtual std::vector<CachedPrefix> takeKeptPrompts() { return {}; }
    virtual void noteKeptPrompts(const std::vector<CachedPrefix>&, TimePoint) { }
};

struct PolicyOptions {
    std::string name; ///< One of policyNames().
    std::uint32_t engines = 1;
    EngineOptions engine;
    std::uint64_t seed = 0;
};

/** The product, the product with one decision taken away, and three plain ways. */
std::vector<std::string> policyNames();
/** Null for a name that is none of policyNames(). */
std::unique_ptr<Policy> makePolicy(const PolicyOptions&);

/** Engines by number, as the policies name them. */
BackendId engineId(std::uint32_t number);
std::uint32_t engineNumber(const BackendId&);

} // namespace HickoryHollow::Replay
