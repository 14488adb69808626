/** \file
 * What a link has to write: frames that must all arrive, and for some subjects only the newest state. Performs no I/O and
 * reads no clock.
 *
 * A peer behind a slow network connection receives fewer updates of a subject rather than late ones, and an update takes
 * memory only once its turn comes. Frames are shared, so that a message to many links exists once.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace HickoryHollow {

/** An encoded frame; see encodeFrame(). */
using SharedFrame = std::shared_ptr<const std::string>;
/** Returns the frame for the newest state of a subject, or null if the peer has it already. Called once at most. */
using FrameSource = std::function<SharedFrame()>;

/** Subjects of which a peer needs only the newest state. */
enum class LinkSubject {
    Routing, ///< The routing configuration.
    Usage, ///< Usage of the backend servers.
    PromptFindings, ///< Parts of prompts that are suspected or in quarantine.
    EntryAddresses, ///< Entry instances to relay requests through.
};

class LinkQueue {
public:
    /** Queues a frame. */
    void push(SharedFrame);
    /** Queues the newest state of a subject. Replaces a source that waits for the same subject, and keeps its place. */
    void pushLatest(LinkSubject, FrameSource);
    /**
     * Removes and returns the frames to write next: all queued frames up to `maxBytes`, at least one, or else the frame
     * of the subject that has waited longest. Empty if there is nothing to write.
     */
    std::vector<SharedFrame> take(std::size_t maxBytes);

    bool isEmpty() const { return m_frames.empty() && m_latest.empty(); }
    /** Size of the queued frames in bytes; frames of subjects do not exist before take(). */
    std::size_t queuedBytes() const { return m_queuedBytes; }

private:
    struct Latest {
        LinkSubject subject;
        FrameSource source;
    };

    std::deque<SharedFrame> m_frames;
    std::deque<Latest> m_latest; // At most one for each subject, in the order in which they began to wait.
    std::size_t m_queuedBytes = 0; // Sum of the sizes of m_frames.
};

} // namespace HickoryHollow
