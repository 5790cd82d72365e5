#pragma once

#include <string>
#include <string_view>

namespace ragworthinge {

/// Classes of errors that calling code handles differently.
enum class error_code {
    invalid_argument,  ///< The input violates a documented rule.
    not_found,         ///< The named object does not exist.
    conflict,          ///< A compare-and-swap failed because of another writer.
    unavailable,       ///< The peer or store cannot be reached; the operation had no effect.
    outcome_unknown,   ///< The operation may or may not have taken effect.
    timeout,           ///< The deadline passed before the operation ended.
    budget_exhausted,  ///< A call budget, queue or share is exhausted; the operation had no effect.
    unauthorized,      ///< The credentials are missing or wrong.
    protocol_violation ///< The peer violated the protocol.
};

/// Name of an error code as written to logs.
std::string_view to_string(error_code code) noexcept;

/// An error code with a human-readable message.
struct error {
    error_code code = error_code::invalid_argument;
    std::string message;
};

} // namespace ragworthinge
