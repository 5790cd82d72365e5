#pragma once

#include "configuration/document_reader.h"
#include "configuration/finding.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragworthinge {

/// A problem at a path; it gets its position from the document later.
struct located_problem {
    std::string path;
    std::string message;
    std::string suggestion;
    bool at_name = false; ///< The field's name is wrong, not its value.
};

/// Collects what the readers of one document find.
struct reading_context {
    std::vector<located_problem> problems;
    /// If set, nothing is read; the readers only name their fields, with "[]" for list elements.
    std::set<std::string>* known_fields = nullptr;
};

/// Gives the problems their positions, drops later ones at the same path and sorts by position.
std::vector<finding> locate_problems(const std::vector<located_problem>& problems, const document& source);

/// Allowed values, inclusive.
struct number_range {
    double minimum = 0;
    double maximum = std::numeric_limits<double>::max();
};

struct integer_range {
    std::int64_t minimum = 0;
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

/// Whether a missing field is a finding.
enum class presence { required, optional };

/// Reads the members of one object, reports wrong types and ranges, and in `finish` all members nobody asked for.
/// Every read returns a usable default after a problem, so one pass finds all problems.
class object_reader {
public:
    /// For the whole document.
    object_reader(reading_context& context, const boost::json::value& value);

    /// For a member or list element of `parent`, which must outlive this. `index` is `no_index` for a member.
    object_reader(const object_reader& parent, const boost::json::value& value, std::string_view name,
                  std::size_t index);

    static constexpr std::size_t no_index = std::numeric_limits<std::size_t>::max();

    std::string path_of(std::string_view name) const;
    bool has(std::string_view name) const;

    /// Text of at most 1024 characters.
    std::string text(std::string_view name, presence wanted, std::string fallback = {});

    /// A name: 1 to 64 of A-Z a-z 0-9 . _ -, because names become parts of store keys and header fields.
    std::string name(std::string_view name, presence wanted = presence::required);

    /// Text that a parser must accept, for example an address. The value is not repeated in the finding.
    template <class Parser>
    auto parsed(std::string_view name, presence wanted, Parser parse) {
        using value_type = typename decltype(parse(std::string_view{}))::value_type;
        const auto content = text(name, wanted);
        if (content.empty())
            return value_type{};
        auto value = parse(std::string_view(content));
        if (value)
            return std::move(value).value();
        report(name, value.error().message);
        return value_type{};
    }

    /// Number with at most three decimals; Boost.JSON reads longer ones inexactly.
    double number(std::string_view name, presence wanted, number_range range, double fallback = 0);

    /// Number as another program prints it, with any count of decimals; read to about 15 digits.
    double computed_number(std::string_view name, presence wanted, number_range range, double fallback = 0);

    std::int64_t integer(std::string_view name, presence wanted, integer_range range, std::int64_t fallback = 0);

    bool boolean(std::string_view name, bool fallback);

    template <class Enumeration>
    Enumeration choice(std::string_view name, const std::vector<std::pair<std::string, Enumeration>>& choices,
                       Enumeration fallback) {
        std::vector<std::string> names;
        names.reserve(choices.size());
        for (const auto& [known, value] : choices)
            names.push_back(known);
        const auto index = choice_index(name, names);
        return index < choices.size() ? choices[index].second : fallback;
    }

    /// List of names.
    std::vector<std::string> names(std::string_view name, presence wanted = presence::optional);

    /// List of texts that are not empty.
    std::vector<std::string> texts(std::string_view name, presence wanted = presence::optional);

    /// Calls `each` for every object of a list, also for faulty ones, so that indices match the document.
    void objects(std::string_view name, presence wanted, const std::function<void(object_reader&)>& each);

    /// Calls `read` for a member object; a missing one is read as empty, so that its required fields are reported.
    void object(std::string_view name, presence wanted, const std::function<void(object_reader&)>& read);

    /// Adds a finding at a member.
    void report(std::string_view name, std::string message, std::string suggestion = {});

    /// Reports members that no call asked for. Call last.
    void finish();

private:
    const boost::json::value* find(std::string_view name, presence wanted);
    std::size_t choice_index(std::string_view name, const std::vector<std::string>& names);
    void report_type(std::string_view name, std::string_view wanted, const boost::json::value& found);
    void check_name(std::string_view name, std::string_view text);
    void check_kind(const boost::json::value& value);
    std::string path() const;
    std::string schema_path_of(std::string_view name) const;

    reading_context& m_context;
    const boost::json::object* m_object = nullptr;
    // Paths are built only when there is something to report: a configuration may have millions of elements.
    const object_reader* m_parent = nullptr;
    std::string_view m_name;
    std::size_t m_index = no_index;
    std::vector<std::string_view> m_known; ///< Callers pass literals.
};

/// Whether the text is a valid name, see `object_reader::name`.
bool is_valid_name(std::string_view text) noexcept;

} // namespace ragworthinge
