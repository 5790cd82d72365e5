#include "configuration/configuration_replica.h"

#include "configuration/fleet_configuration_reader.h"

#include <array>

namespace ragworthinge {

std::string_view to_string(offer_outcome outcome) noexcept {
    constexpr std::array<std::string_view, 6> names = {"accepted", "known", "stale", "diverged", "garbled", "invalid"};
    return names.at(static_cast<std::size_t>(outcome));
}

offer_report configuration_replica::offer(const configuration_pointer& pointer, std::string content,
                                          const std::string& source) {
    const auto subject = "revision " + std::to_string(pointer.revision) + " from " + source;
    if (pointer.revision < m_pointer.revision)
        return {offer_outcome::stale,
                subject + " is older than revision " + std::to_string(m_pointer.revision) + " in force",
                {}};
    if (m_current != nullptr && pointer.revision == m_pointer.revision) {
        if (pointer.digest == m_pointer.digest)
            return {offer_outcome::known, subject + " is in force already", {}};
        return {offer_outcome::diverged, subject + " has another content than the same revision in force", {}};
    }
    // Revision 0 stands for "none in force", so no content may carry it.
    if (pointer.revision < 1 || content_digest(content) != pointer.digest)
        return {offer_outcome::garbled, subject + " does not match its digest", {}};
    auto read = read_fleet_configuration(source, content);
    if (!read.findings.empty())
        return {offer_outcome::invalid, subject + " has " + std::to_string(read.findings.size()) + " findings",
                std::move(read.findings)};
    read.configuration.revision = pointer.revision;
    m_current = std::make_shared<const fleet_configuration>(std::move(read.configuration));
    m_pointer = pointer;
    m_content = std::move(content);
    return {offer_outcome::accepted, subject + " is in force", {}};
}

} // namespace ragworthinge
