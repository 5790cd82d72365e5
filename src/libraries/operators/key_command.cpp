#include "base/digest.h"
#include "base/encoding.h"
#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_edit.h"

#include <boost/program_options/value_semantic.hpp>

namespace ragworthinge {

namespace {

namespace options_library = boost::program_options;

constexpr std::size_t key_bytes = 32;

struct issued_key {
    std::string value; ///< Printed once; only its digest is stored.
    key_configuration entry;
};

result<issued_key> generate_key(const command_options& options) {
    BOOST_OUTCOME_TRY(const auto content, options.environment().read_file(options.text("fleet-key-file")));
    BOOST_OUTCOME_TRY(const auto secret, secret_from_file_content(content));
    BOOST_OUTCOME_TRY(const auto random, options.environment().random_bytes(key_bytes));
    issued_key key;
    key.value = encode_hex(random);
    key.entry = {options.text("id"), options.text("account"), to_hex(hmac_sha256(secret, key.value))};
    return key;
}

} // namespace

int run_key_issue_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment,
                            "key issue --account NAME --id ID --fleet-key-file FILE --store IP:PORT --operator NAME",
                            "Creates a key for a client account, puts it in force and prints it once.");
    options.add_submission();
    options.add()("account", options_library::value<std::string>()->required(), "client account of the key");
    options.add()("id", options_library::value<std::string>()->required(), "public id of the key");
    options.add()("fleet-key-file", options_library::value<std::string>()->required(), "file with the fleet secret");
    if (const auto code = options.parse(arguments))
        return *code;
    const auto key = generate_key(options);
    if (!key)
        return options.fail(key.error());
    const auto add_key = [&](configuration_submitter&, const stored_configuration&,
                             submission& requested) -> result<void> {
        requested.configuration.keys.push_back(key.value().entry);
        return boost::outcome_v2::success();
    };
    // Hosts accept the key only after its digest is part of the current configuration, so it is printed after that.
    return submit_edit(options, "key issue", add_key, {{"key", key.value().value}});
}

int run_key_withdraw_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "key withdraw ID --store IP:PORT --operator NAME",
                            "Revokes a key. Hosts stop accepting it within seconds, including on open connections.");
    options.add_submission();
    options.add()("id", options_library::value<std::string>()->required(), "public id of the key");
    options.add_positional("id", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto remove_key = [&](configuration_submitter&, const stored_configuration&,
                                submission& requested) -> result<void> {
        const auto removed = std::erase_if(requested.configuration.keys,
                                           [&](const key_configuration& key) { return key.id == options.text("id"); });
        if (removed == 0)
            return failure(error_code::not_found, "there is no key '" + options.text("id") + "'");
        return boost::outcome_v2::success();
    };
    return submit_edit(options, "key withdraw", remove_key);
}

} // namespace ragworthinge
