#pragma once

#include "base/result.h"
#include "configuration/configuration_replica.h"
#include "store/platform_store.h"

#include <functional>

namespace ragworthinge {

class fiber_runtime;

/// Collaborators of a configuration_follower; all outlive it.
struct configuration_follower_options {
    fiber_runtime& runtime;
    platform_store& store;
    /// A new revision is in force in the replica.
    std::function<void()> on_change;
    /// The store answered a read of the pointer that was sent at the given time.
    std::function<void(time_point sent_at, configuration_revision revision)> on_store_answer;
    /// Told of each offer that was not accepted, and of store errors.
    std::function<void(const std::string& message)> on_problem;
};

/// Keeps the configuration of this host at the newest revision, from the store or from peers.
class configuration_follower {
public:
    explicit configuration_follower(configuration_follower_options options) : m_options(std::move(options)) {}

    /// Starts to follow the store.
    void start();

    /// Reads the pointer and, if it is newer, the content. One store call if nothing is new.
    result<void> refresh();

    /// Takes a configuration from a peer.
    void offer_from_peer(const configuration_pointer& pointer, std::string content, const std::string& peer);

    const configuration_replica& replica() const noexcept { return m_replica; }

private:
    result<std::string> load_content(const configuration_pointer& pointer);
    void offer(const configuration_pointer& pointer, std::string content, const std::string& source);
    void watch();

    configuration_follower_options m_options;
    configuration_replica m_replica;
};

} // namespace ragworthinge
