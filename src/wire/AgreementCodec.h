/** \file
 * Messages and records of the agreement protocol to their Thrift form and back.
 */
#pragma once

#include "agreement/AgreementTypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow::Wire {
class AgreementMessage;
}

namespace HickoryHollow {

/** Identity of a data folder and how often a process was started on it. */
struct ReplicaIdentity {
    Member self;
    Incarnation incarnation;
};

using DurableRecord = std::variant<VoteRecord, EntriesRecord, ReplicaIdentity>;

/** Everything that a new generation of the journal starts with. */
struct DurableState {
    ReplicaIdentity identity;
    VoteRecord vote;
    StateSnapshot snapshot;
    std::vector<LogEntry> entries; ///< Behind the snapshot.
};

Wire::AgreementMessage toWire(const AgreementMessage&);
/** Nothing when the message holds no known payload. */
std::optional<AgreementMessage> fromWire(const Wire::AgreementMessage&);

std::string encodeBatch(const std::vector<DurableRecord>&);
std::optional<std::vector<DurableRecord>> decodeBatch(std::string_view);
std::string encodeDurableState(const DurableState&);
std::optional<DurableState> decodeDurableState(std::string_view);

} // namespace HickoryHollow
