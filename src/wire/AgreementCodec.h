/** \file
 * Converts messages of the consensus protocol and its journal records to their Thrift types and back.
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

/** The replica that a data folder belongs to. */
struct ReplicaIdentity {
    Member self;
    Incarnation incarnation; ///< Number of process starts on the folder, this one included.
};

/** One record of a journal batch. */
using DurableRecord = std::variant<VoteRecord, EntriesRecord, ReplicaIdentity>;

/** Contents of a journal snapshot. */
struct DurableState {
    ReplicaIdentity identity;
    VoteRecord vote;
    StateSnapshot snapshot;
    std::vector<LogEntry> entries; ///< Log entries that follow snapshot.index, in order.
};

Wire::AgreementMessage toWire(const AgreementMessage&);
/** Returns nothing when the payload is missing or of a type that this version does not know. */
std::optional<AgreementMessage> fromWire(const Wire::AgreementMessage&);

/** Encodes the records as one journal batch. */
std::string encodeBatch(const std::vector<DurableRecord>&);
/** Returns nothing when the bytes are not a valid batch or a record is of no known type. */
std::optional<std::vector<DurableRecord>> decodeBatch(std::string_view);
/** Encodes a journal snapshot. */
std::string encodeDurableState(const DurableState&);
/** Returns nothing when the bytes are not a valid snapshot. */
std::optional<DurableState> decodeDurableState(std::string_view);

} // namespace HickoryHollow
