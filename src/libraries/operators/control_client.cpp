#include "operators/control_client.h"

#include "base/http_status.h"
#include "operators/exit_code.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace ragworthinge {

namespace {

result<std::string> read_operator_token(const command_options& options) {
    BOOST_OUTCOME_TRY(const auto content, options.environment().read_file(options.text("token-file")));
    return secret_from_file_content(content);
}

result<boost::json::value> call_host(const command_options& options, const control_request& request) {
    BOOST_OUTCOME_TRY(const auto response, options.environment().send_control_request(request));
    if (response.status == http_status::unauthorized || response.status == http_status::forbidden)
        return failure(error_code::unauthorized, "the host rejected the operator token");
    if (response.status == http_status::not_found)
        return failure(error_code::not_found, "the host does not know the requested object or path");
    if (response.status != http_status::ok)
        return failure(error_code::protocol_violation,
                       "the host responded with HTTP status " + std::to_string(response.status));
    boost::system::error_code failed;
    auto content = boost::json::parse(response.body, failed);
    if (failed)
        return failure(error_code::protocol_violation, "the host's response is not valid JSON");
    return content;
}

void append_plain_text(std::string& text, const boost::json::value& content, const std::string& indent);

void append_member(std::string& text, const std::string& name, const boost::json::value& content,
                   const std::string& indent) {
    if (content.is_object() || content.is_array()) {
        text += indent + name + ":\n";
        append_plain_text(text, content, indent + "  ");
        return;
    }
    const auto value = content.is_string() ? std::string(content.get_string().data(), content.get_string().size())
                                           : boost::json::serialize(content);
    text += indent + name + ": " + value + "\n";
}

void append_plain_text(std::string& text, const boost::json::value& content, const std::string& indent) {
    if (content.is_object()) {
        for (const auto& member : content.get_object())
            append_member(text, std::string(member.key()), member.value(), indent);
        return;
    }
    if (!content.is_array()) {
        append_member(text, "value", content, indent);
        return;
    }
    std::size_t number = 0;
    for (const auto& element : content.get_array())
        append_member(text, std::to_string(++number), element, indent);
}

} // namespace

std::string to_plain_text(const boost::json::value& content) {
    std::string text;
    append_plain_text(text, content, {});
    return text;
}

std::string encode_query_value(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char letter : text) {
        if (unreserved.find(letter) != std::string_view::npos) {
            encoded += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0x0FU];
    }
    return encoded;
}

int call_hosts(const command_options& options, const std::string& method, const std::string& target,
               host_selection selection) {
    const auto endpoints = options.endpoints("control");
    if (!endpoints)
        return options.fail(endpoints.error());
    const auto token = read_operator_token(options);
    if (!token)
        return options.fail(token.error());
    int code = exit_success;
    std::string text;
    boost::json::array responses;
    for (const auto& endpoint : endpoints.value()) {
        const auto address = to_text(endpoint);
        const auto response = call_host(options, {method, endpoint, target, token.value()});
        if (!response) {
            const int failed = options.fail({response.error().code, address + ": " + response.error().message});
            code = code == exit_success ? failed : code;
            continue;
        }
        text += "host at " + address + "\n" + to_plain_text(response.value());
        responses.push_back(boost::json::object{{"control", address}, {"answer", response.value()}});
        if (selection == host_selection::every_host)
            continue;
        code = exit_success;
        break;
    }
    options.print(text, boost::json::object{{"hosts", responses}});
    return code;
}

} // namespace ragworthinge
