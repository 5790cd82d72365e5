#pragma once

#include "base/result.h"
#include "escrow/escrow_messages.h"
#include "membership/member_view.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragworthinge {

/// Sent to every peer; the peer replies with its own heartbeat.
struct heartbeat_request {
    heartbeat sender;
    incarnation sender_run = 0;              ///< Run under which the sender is on its region's page; zero if it is not.
    std::vector<std::string> poison_records; ///< Recent changes, as encoded `poison_record`s.
};

/// Reply to a heartbeat.
struct heartbeat_reply {
    heartbeat responder;
    incarnation responder_run = 0; ///< Run under which the responder is on its region's page; zero if it is not.
    /// Age of the responder's own read of the region page; absent without one within the lease duration.
    std::optional<duration> direct_proof_age;
    /// The newest region page that the responder read lists the asking run as an active member.
    bool lists_sender = false;
    /// Age of the responder's last answer from the store about the configuration; absent without one.
    std::optional<duration> configuration_proof_age;
    /// Revision that this proof refers to.
    configuration_revision proven_revision = 0;
    allocator_epoch epoch = 0; ///< Newest allocator of the region that the responder knows.
    holder_id allocator;
};

/// A holder's report to the allocator of its region.
struct share_exchange_request {
    share_report report;
};

/// The allocator's reply; `allocator` is false if the responder is not the allocator, or not of that holder's epoch.
struct share_exchange_reply {
    bool allocator = false;
    allocator_epoch epoch = 0;
    share_assignment assignment;
};

/// An assignment that the allocator sends without having been asked. The reply is empty.
struct share_push {
    share_assignment assignment;
};

/// Asks for the configuration in force.
struct configuration_request {
    configuration_revision known_revision = 0;
};

/// Reply; empty if the asked host has nothing newer.
struct configuration_reply {
    std::string pointer; ///< As printed by `print_pointer`.
    std::optional<std::string> document;
};

using control_message = std::variant<heartbeat_request, share_exchange_request, share_push, configuration_request>;

std::string encode(const control_message& message);
std::string encode(const heartbeat_reply& message);
std::string encode(const share_exchange_reply& message);
std::string encode(const configuration_reply& message);

/// Decoders fail with protocol_violation on anything that the encoders do not produce.
result<control_message> decode_control_message(std::string_view text);
result<heartbeat_reply> decode_heartbeat_reply(std::string_view text);
result<share_exchange_reply> decode_share_exchange_reply(std::string_view text);
result<configuration_reply> decode_configuration_reply(std::string_view text);

} // namespace ragworthinge
