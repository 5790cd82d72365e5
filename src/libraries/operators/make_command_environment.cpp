#include "host/run_host.h"
#include "operators/command_environment.h"
#include "operators/command_runtime.h"

#include <openssl/rand.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace ragworthinge {

namespace {

result<std::string> read_whole_file(const std::string& name) {
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return failure(error_code::not_found, name + ": cannot be opened");
    std::string content((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (file.bad())
        return failure(error_code::not_found, name + ": cannot be read");
    return content;
}

result<std::string> read_random_bytes(std::size_t count) {
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1)
        return failure(error_code::unavailable, "the random number generator failed");
    return bytes;
}

} // namespace

command_environment make_command_environment() {
    command_environment environment;
    auto runtime = std::make_shared<command_runtime>();
    environment.connect_store = [runtime](const std::vector<ip_endpoint>& endpoints) {
        return runtime->connect_store(endpoints);
    };
    environment.send_control_request = [runtime](const control_request& request) {
        return runtime->send_control_request(request);
    };
    environment.run_host = run_host;
    environment.read_file = read_whole_file;
    environment.random_bytes = read_random_bytes;
    environment.now = [] {
        return wall_clock::now();
    };
    environment.run_blocking = [runtime](const std::function<int()>& body) {
        return runtime->run_blocking(body);
    };
    environment.output = &std::cout;
    environment.errors = &std::cerr;
    return environment;
}

} // namespace ragworthinge
