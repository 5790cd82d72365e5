#include "gateway/gateway_process.h"
#include "operators/command_line.h"
#include "platform_adapter.h"

int main(int argument_count, char** arguments) {
    auto environment = ragworthinge::make_command_environment();
    environment.run_gateway = [] {
        return ragworthinge::run_gateway(*ragworthinge::make_platform_adapter());
    };
    return ragworthinge::run_command_line(environment, {arguments + 1, arguments + argument_count});
}
