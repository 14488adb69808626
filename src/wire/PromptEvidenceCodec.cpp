#include "wire/PromptEvidenceCodec.h"

#include "wire/Milliseconds.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

std::vector<std::int64_t> toSignedParts(const std::vector<PromptPartId>& parts)
{
    std::vector<std::int64_t> wire(parts.size());
    std::transform(parts.begin(), parts.end(), wire.begin(), [](auto it) { return toSigned(it.value()); });
    return wire;
}

std::vector<PromptPartId> fromSignedParts(const std::vector<std::int64_t>& wire)
{
    std::vector<PromptPartId> parts(wire.size());
    std::transform(wire.begin(), wire.end(), parts.begin(), [](auto it) { return PromptPartId(toUnsigned(it)); });
    return parts;
}

} // namespace

Wire::PromptEvidence toWire(const PromptEvidence& evidence)
{
    Wire::PromptEvidence wire;
    for (const auto& it : evidence.crashes) {
        auto& crash = wire.crashes.emplace_back();
        crash.server = toSigned(it.server.value());
        crash.sentForMs = toMilliseconds(it.sentFor);
        crash.ageMs = toMilliseconds(it.age);
        crash.parts = toSignedParts(it.parts);
    }
    for (const auto& it : evidence.answered) {
        auto& answered = wire.answered.emplace_back();
        answered.part = toSigned(it.part.value());
        answered.ageMs = toMilliseconds(it.age);
    }
    wire.quarantined = toSignedParts(evidence.quarantined);
    return wire;
}

PromptEvidence fromWire(const Wire::PromptEvidence& wire)
{
    PromptEvidence evidence;
    for (const auto& it : wire.crashes)
        evidence.crashes.push_back({ .server = ServerStartId(toUnsigned(it.server)), .sentFor = fromMilliseconds(it.sentForMs), .age = fromMilliseconds(it.ageMs), .parts = fromSignedParts(it.parts) });
    for (const auto& it : wire.answered)
        evidence.answered.push_back({ .part = PromptPartId(toUnsigned(it.part)), .age = fromMilliseconds(it.ageMs) });
    evidence.quarantined = fromSignedParts(wire.quarantined);
    return evidence;
}

Wire::PromptFindings toWire(const PromptFindings& findings)
{
    Wire::PromptFindings wire;
    wire.suspects = toSignedParts(findings.suspects);
    wire.quarantined = toSignedParts(findings.quarantined);
    return wire;
}

PromptFindings fromWire(const Wire::PromptFindings& wire)
{
    return { .suspects = fromSignedParts(wire.suspects), .quarantined = fromSignedParts(wire.quarantined) };
}

} // namespace HickoryHollow
