/** \file
 * A model engine as the replay needs it: a batch of slots whose step grows with the batch, prompts that are read in chunks
 * between the tokens of others, and a memory in which parts of prompts stay until others need the room. Pure.
 *
 * Of the real thing it leaves out preemption.
 */
#pragma once

#include "base/Time.h"
#include "placement/Prompt.h"

#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>
#include <vector>

namespace HickoryHollow::Replay {

struct EngineOptions {
    std::uint32_t slots = 48;
    std::uint64_t tokenCapacity = 444'000; ///< For kept parts and running requests together.
    double stepMilliseconds = 3.3; ///< Of an empty batch.
    double stepMillisecondsPerRunning = 0.1; ///< For each request that writes.
    double tokensPerMillisecond = 93; ///< Reading speed.
    double attentionTokens = 23'000; ///< So many tokens before it make a token take twice as long to read.
    std::uint32_t chunkTokens = 2048; ///< Read within one step.
    std::uint32_t tokensPerPiece = 6; ///< Of an answer; a piece is what the caller sees at once.
};

struct EngineRequest {
    std::uint64_t id = 0;
    Prompt prompt;
    std::uint32_t outputTokens = 0;
    std::uint32_t priority = 0; ///< 0 is admitted first.
};

/** A caller sees a piece of an answer. */
struct EnginePiece {
    std::uint64_t id = 0;
    TimePoint at;
    bool isFirst = false;
    bool isLast = false;
};

class EngineModel {
public:
    explicit EngineModel(EngineOptions options)
        : m_options(options)
    {
    }

    void submit(EngineRequest);
    /** Its caller left. */
    void cancel(std::uint64_t id);
    /** Works until `now` and gives the pieces that were finished. A step takes `slowness` times as long. */
    std::vector<EnginePiece> advance(TimePoint now, double slowness);

    std::uint64_t tokensRead() const { return m_tokensRead; }
    /** Of them, shared parts that this engine, or another one, had read before. */
    std::uint64_t tokensReread() const { return m_tokensReread; }
    /** Hashes of shared parts that any engine has read; the engines of one fleet are given the same set. */
    void setReadBefore(std::set<std::uint64_t>* readBefore) { m_readBefore = readBefore; }

private:
    struct Run {
        EngineRequest request;
        std::uint32_t unread = 0; ///< Prompt tokens that are still to be read.
        std::uint32_t written = 0;
        bool isReading = true;
    };

    struct Kept {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator use;
    };

    void admit();
    std::uint32_t keptTokens(const Prompt&) const;
    void keep(const Prompt&);
    void noteReading(const Prompt&, std::uint32_t kept);
    double readingMilliseconds(const Run&, std::uint32_t chunk) const;
    /** One step, ended at the given time. */
    void finishStep(TimePoint at, std::uint32_t chunk, std::vector<EnginePiece>&);

    EngineOptions m_options;
    std::list<Run> m_waiting; // By priority, then arrival.
    std::list<Run> m_running; // By admission; those that read come in turn.
    std::unordered_map<std::uint64_t, Kept> m_kept;
    std::list<std::uint64_t> m_keptByUse; // Most recently used first.
    std::uint64_t m_keptTokens = 0; // Sum over m_kept.
    std::uint64_t m_tokensRead = 0;
    std::uint64_t m_tokensReread = 0;
    std::set<std::uint64_t>* m_readBefore = nullptr;
    TimePoint m_stepStart {}; // Of the step in progress.
};

} // namespace HickoryHollow::Replay
