#pragma once

#include "configuration/configuration_chunks.h"
#include "configuration/finding.h"
#include "configuration/fleet_configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// What became of an offered configuration.
enum class offer_outcome {
    accepted, ///< It is in force now.
    known,    ///< It is the configuration in force already.
    stale,    ///< Its revision is lower than the one in force.
    diverged, ///< It has the revision in force but another content; the one in force stays.
    garbled,  ///< Its content does not match its digest.
    invalid   ///< Its content has findings.
};

std::string_view to_string(offer_outcome outcome) noexcept;

/// Outcome with what there is to report.
struct offer_report {
    offer_outcome outcome = offer_outcome::known;
    std::string message; ///< For the log.
    std::vector<finding> findings;
};

/// The configuration in force on this host. Its revision only ever grows, whoever offers a configuration.
class configuration_replica {
public:
    /// Whether a pointer, from the store or from a peer's heartbeat, is worth fetching.
    bool wants(configuration_revision revision) const noexcept { return revision > m_pointer.revision; }

    /// Checks an offered content completely and puts it in force at once, or leaves everything as it was.
    /// `source` names the store or the peer and is used in the report.
    offer_report offer(const configuration_pointer& pointer, std::string content, const std::string& source);

    /// Revision in force; 0 before the first.
    configuration_revision revision() const noexcept { return m_pointer.revision; }

    /// Configuration in force; null before the first. Holders keep the one they got until they let go of it.
    std::shared_ptr<const fleet_configuration> current() const noexcept { return m_current; }

    /// Pointer and content for a peer that is behind.
    const configuration_pointer& pointer() const noexcept { return m_pointer; }
    const std::string& content() const noexcept { return m_content; }

private:
    configuration_pointer m_pointer;
    std::string m_content;
    std::shared_ptr<const fleet_configuration> m_current;
};

} // namespace ragworthinge
