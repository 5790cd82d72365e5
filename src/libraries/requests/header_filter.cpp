#include "requests/header_filter.h"

#include "requests/percent_encoding.h"

#include <algorithm>
#include <array>

namespace ragworthinge {

namespace {

/// Minimum length of a key to search for in other fields. Shorter texts occur by chance, and the key table accepts no
/// such key.
constexpr std::size_t min_searched_bytes = 8;

constexpr std::string_view reserved_prefix = "x-ragworthinge-";
constexpr std::string_view canonical_deadline_field = "x-request-timeout-ms";

std::string canonical_field_name(std::string_view name) {
    const bool is_encoded = name.find('%') != std::string_view::npos;
    std::string canonical = is_encoded ? lower_case(decode_percent_fully(name)) : lower_case(name);
    std::replace(canonical.begin(), canonical.end(), '_', '-');
    return canonical;
}

std::string_view trim(std::string_view text) {
    const std::size_t start = text.find_first_not_of(" \t");
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(" \t") - start + 1);
}

/// Characters that are allowed in a field name (RFC 9110, section 5.6.2).
constexpr auto token_characters = [] {
    std::array<bool, 256> table{};
    constexpr std::string_view characters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789!#$%&'*+-.^_`|~";
    for (const char character : characters)
        table[static_cast<unsigned char>(character)] = true;
    return table;
}();

bool is_token(std::string_view name) {
    const auto is_allowed = [](char character) {
        return token_characters[static_cast<unsigned char>(character)];
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), is_allowed);
}

bool is_field_value(std::string_view value) {
    return std::none_of(value.begin(), value.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < 0x20 && character != '\t') || byte == 0x7f;
    });
}

bool is_credential_field(std::string_view canonical_name) {
    return canonical_name == "authorization" || canonical_name == "proxy-authorization" ||
           canonical_name == "x-api-key";
}

bool is_hop_by_hop(std::string_view canonical_name) {
    constexpr std::array<std::string_view, 9> names{
        "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
        "trailer",    "transfer-encoding", "upgrade"};
    return std::find(names.begin(), names.end(), canonical_name) != names.end();
}

std::vector<std::string> canonical_names(const http_fields& fields) {
    std::vector<std::string> names;
    names.reserve(fields.entries().size());
    for (const http_field& field : fields.entries())
        names.push_back(canonical_field_name(field.name));
    return names;
}

/// Returns the canonical names listed in all Connection fields. `names` are the canonical names of `fields`.
std::vector<std::string> connection_options(const http_fields& fields, const std::vector<std::string>& names) {
    std::vector<std::string> options;
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names[index] != "connection")
            continue;
        std::string_view rest = fields.entries()[index].value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            std::string option = canonical_field_name(trim(rest.substr(0, comma)));
            // Host and Content-Length describe the request itself; removing them would change its meaning.
            if (option != "host" && option != "content-length")
                options.push_back(std::move(option));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return options;
}

bool is_hop_by_hop_or_reserved(std::string_view canonical_name, const std::vector<std::string>& options) {
    return is_hop_by_hop(canonical_name) || canonical_name.starts_with(reserved_prefix) ||
           std::find(options.begin(), options.end(), canonical_name) != options.end();
}

/// One query field and the separator that precedes it.
struct query_field {
    std::string_view separator;
    std::string_view text;

    std::string_view name() const { return text.substr(0, text.find('=')); }

    std::string_view value() const {
        const std::size_t equals = text.find('=');
        return equals == std::string_view::npos ? std::string_view{} : text.substr(equals + 1);
    }
};

/// Splits at `&` and `;`, because some upstreams treat a semicolon as a separator.
std::vector<query_field> split_query(std::string_view query) {
    std::vector<query_field> fields;
    std::string_view separator;
    std::size_t start = 0;
    while (start <= query.size() && !query.empty()) {
        const std::size_t end = std::min({query.find('&', start), query.find(';', start), query.size()});
        fields.push_back({separator, query.substr(start, end - start)});
        separator = query.substr(end, 1);
        start = end + 1;
    }
    return fields;
}

/// Returns whether the query field carries a key. Names such as `api_key[]` count as `api_key`, and a plus sign counts
/// as a space, as in form encoding.
bool is_key_field(const query_field& field) {
    std::string name = decode_percent_fully(field.name());
    std::replace(name.begin(), name.end(), '+', ' ');
    name.resize(std::min(name.find('['), name.size()));
    const std::string canonical = canonical_field_name(trim(name));
    return canonical == "api-key" || canonical == "key";
}

/// Returns the credentials of a Bearer authorization value, or an empty view.
std::string_view bearer_key(std::string_view value) {
    constexpr std::string_view scheme = "bearer";
    value = trim(value);
    if (value.size() <= scheme.size() || lower_case(value.substr(0, scheme.size())) != scheme)
        return {};
    const std::string_view rest = value.substr(scheme.size());
    return rest.front() == ' ' || rest.front() == '\t' ? trim(rest) : std::string_view{};
}

} // namespace

admitted<header_filter> header_filter::create(http_request_head head) {
    for (const http_field& field : head.fields.entries()) {
        if (!is_token(field.name) || !is_field_value(field.value))
            return refuse(refusal_kind::malformed_request, "a header field has a forbidden character");
    }
    BOOST_OUTCOME_TRY(request_target target, request_target::parse(head.target));

    header_filter filter(std::move(target));
    filter.m_head = std::move(head);
    filter.m_canonical_names = canonical_names(filter.m_head.fields);
    filter.collect_keys();
    if (!filter.m_carried_keys.empty())
        filter.m_key = secret_text(filter.m_carried_keys.front());
    const auto differs = [&](const std::string& key) {
        return key != filter.m_carried_keys.front();
    };
    if (std::any_of(filter.m_carried_keys.begin(), filter.m_carried_keys.end(), differs))
        return refuse(refusal_kind::malformed_request, "the request carries different keys");
    return filter;
}

void header_filter::collect_keys() {
    for (std::size_t index = 0; index < m_canonical_names.size(); ++index) {
        const std::string& value = m_head.fields.entries()[index].value;
        if (m_canonical_names[index] == "authorization")
            m_carried_keys.emplace_back(bearer_key(value));
        else if (m_canonical_names[index] == "x-api-key")
            m_carried_keys.emplace_back(trim(value));
    }
    for (const query_field& field : split_query(m_target.query())) {
        if (is_key_field(field))
            m_carried_keys.push_back(decode_percent(field.value()));
    }
    std::erase_if(m_carried_keys, [](const std::string& key) { return key.empty(); });

    for (const std::string& key : m_carried_keys) {
        for (const std::string& form : {lower_case(key), lower_case(decode_percent_fully(key))}) {
            const bool known =
                std::find(m_searched_forms.begin(), m_searched_forms.end(), form) != m_searched_forms.end();
            if (form.size() >= min_searched_bytes && !known)
                m_searched_forms.push_back(form);
        }
    }
}

bool header_filter::contains_key(std::string_view text) const {
    if (m_searched_forms.empty() || text.size() < min_searched_bytes)
        return false;
    const auto contains_any = [&](std::string_view current) {
        return std::any_of(m_searched_forms.begin(), m_searched_forms.end(),
                           [&](const std::string& form) { return contains_ignoring_case(current, form); });
    };
    if (contains_any(text))
        return true;
    // An upstream may decode any number of times, so the text is searched after each decoding pass.
    std::string current(text);
    while (current.find('%') != std::string::npos) {
        std::string next = decode_percent(current);
        if (next.size() == current.size())
            return false;
        if (contains_any(next))
            return true;
        current = std::move(next);
    }
    return false;
}

std::string header_filter::forwarded_query() const {
    std::string query;
    for (const query_field& field : split_query(m_target.query())) {
        if (is_key_field(field) || contains_key(field.text))
            continue;
        if (!query.empty())
            query += field.separator;
        query += field.text;
    }
    return query;
}

admitted<http_request_head> header_filter::forward(const forwarding_context& context) const {
    http_request_head forwarded;
    forwarded.method = m_head.method;
    forwarded.content_length = m_head.content_length;
    forwarded.has_body = m_head.has_body;

    const std::string query = forwarded_query();
    forwarded.target = m_target.raw_path() + (query.empty() ? "" : "?" + query);
    // This check covers the path, and also a query in which the removal of a field joined two others to form the key.
    if (contains_key(forwarded.target) || contains_key(forwarded.method))
        return refuse(refusal_kind::malformed_request, "the key occurs in the path, the query or the method");

    const std::vector<std::string> options = connection_options(m_head.fields, m_canonical_names);
    forwarded.fields.entries().reserve(m_canonical_names.size() + 2);
    for (std::size_t index = 0; index < m_canonical_names.size(); ++index) {
        const std::string& name = m_canonical_names[index];
        const http_field& field = m_head.fields.entries()[index];
        const bool is_removed = is_credential_field(name) || name == canonical_deadline_field ||
                                is_hop_by_hop_or_reserved(name, options) || contains_key(field.name) ||
                                contains_key(field.value);
        if (!is_removed)
            forwarded.fields.add(field.name, field.value);
    }
    if (context.account)
        forwarded.fields.add(account_field, *context.account);
    forwarded.fields.add(deadline_field, std::to_string(context.remaining.count()));
    return forwarded;
}

void filter_response_fields(http_fields& fields) {
    const std::vector<std::string> options = connection_options(fields, canonical_names(fields));
    std::erase_if(fields.entries(), [&](const http_field& field) {
        return is_hop_by_hop_or_reserved(canonical_field_name(field.name), options);
    });
}

} // namespace ragworthinge
