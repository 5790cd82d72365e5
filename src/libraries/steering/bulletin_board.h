#pragma once

#include "base/time.h"
#include "steering/crash_register.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_report.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace ragworthinge {

struct bulletin_board_options {
    incarnation run = 0; ///< Of this host.
    /// Sums over all hosts are made this often at most: with 122 hosts a region there are 153 questions a second.
    duration sum_period = std::chrono::milliseconds(200);
    /// Objects that are kept for later questions, and at most sent with one answer. Source: 12 bytes each, so an answer
    /// stays below 25 kB; a host that missed more learns the rest by itself.
    std::size_t object_limit = 2000;
};

/// Answers the questions of a region's hosts from what its reporter knows, so that hosts neither tell each other nor
/// ask the store: with 65 hosts a region, each sent 80 messages a second to the others.
///
/// The part of an answer that follows the store (`changes`, `follows_store`) is added by the owner.
class bulletin_board {
public:
    bulletin_board(const fleet_membership& membership, crash_register& crashes, bulletin_board_options options)
        : m_membership(membership), m_crashes(crashes), m_options(options) {}

    /// Objects that became known at this host, in the region or through a digest.
    void add_objects(const std::vector<known_object>& objects);

    /// The answer for the host; `own` is this host's latest report, `is_reporter` whether it tells other regions what
    /// the asking host reports. Take that report first.
    region_bulletin answer(const bulletin_question& question, const fleet_report& own, bool is_reporter,
                           time_point now);

private:
    /// What all hosts reported, added up.
    struct fleet_sums {
        std::map<account_id, demand_view> demands; ///< `others` includes every host of the region.
        std::map<upstream_number, double> loads;
        std::map<host_id, fleet_report> reports; ///< Direct reports that the sums contain.
        std::vector<host_id> silent;
        std::vector<host_id> leaving;
        time_point made_at;
        bool knows_demand = false;
    };

    void update_sums(const fleet_report& own, time_point now);

    const fleet_membership& m_membership;
    crash_register& m_crashes;
    bulletin_board_options m_options;
    fleet_sums m_sums;
    std::deque<numbered_object> m_objects;
    std::uint64_t m_first_object = 0; ///< Number of the oldest one.
};

} // namespace ragworthinge
