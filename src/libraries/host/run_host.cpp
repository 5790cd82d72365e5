#include "host/run_host.h"

#include "host/host_process.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace ragworthinge {

namespace {

constexpr int exit_failure = 1;

result<std::string> read_secret(const std::string& name) {
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return failure(error_code::not_found, name + ": cannot be opened");
    const std::string content((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return secret_from_file_content(content);
}

result<host_secrets> read_secrets(const secret_settings& settings) {
    host_secrets secrets;
    BOOST_OUTCOME_TRY(secrets.fleet_secret, read_secret(settings.fleet_key_file));
    if (!settings.operator_token_file.empty()) {
        BOOST_OUTCOME_TRY(secrets.operator_token, read_secret(settings.operator_token_file));
    }
    return secrets;
}

} // namespace

int run_host(const host_settings& settings) {
    auto secrets = read_secrets(settings.secrets);
    if (!secrets) {
        std::cerr << secrets.error().message << '\n';
        return exit_failure;
    }
    host_process process(settings, std::move(secrets).value());
    if (const auto started = process.start(); !started) {
        std::cerr << started.error().message << '\n';
        return exit_failure;
    }
    process.run();
    // Fibers still wait for peers and timers; the process ends without resuming them.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace ragworthinge
