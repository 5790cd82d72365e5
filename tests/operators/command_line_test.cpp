#include "operators/command_line.h"

#include "base/digest.h"
#include "base/encoding.h"
#include "configuration/configuration_chunks.h"
#include "configuration/fleet_configuration_printer.h"
#include "configuration/sample_configuration.h"
#include "operators/configuration_submitter.h"
#include "operators/exit_code.h"
#include "operators/scripted_store.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <sstream>

using namespace ragworthinge;
using namespace ragworthinge::test;

namespace {

const std::string fleet_secret = "0123456789abcdef0123456789abcdef";
const std::string operator_token = "token-0123456789abcdef";

/// Runs commands with fake files, store and hosts that keep their state for the duration of the test.
class command_fixture {
public:
    command_fixture() {
        files["sample.json"] = print_configuration(sample_configuration());
        files["secret"] = fleet_secret + "\n";
        files["token"] = operator_token + "\n";
        m_environment.connect_store = [this](const auto&) -> result<std::unique_ptr<platform_store>> {
            if (store_is_down)
                return failure(error_code::unavailable, "no connection");
            auto store = std::make_unique<scripted_store>(state);
            store->fault = fault;
            return std::unique_ptr<platform_store>(std::move(store));
        };
        m_environment.send_control_request = [this](const control_request& request) -> result<control_response> {
            requests.push_back(request);
            return respond(request);
        };
        m_environment.read_file = [this](const std::string& name) -> result<std::string> {
            if (!files.contains(name))
                return failure(error_code::not_found, name + ": cannot be opened");
            return files[name];
        };
        m_environment.random_bytes = [this](std::size_t count) -> result<std::string> {
            return std::string(count, static_cast<char>(++m_random_calls));
        };
        m_environment.now = [] {
            return wall_time(std::chrono::seconds(1'796'000'000));
        };
        m_environment.run_blocking = [](const std::function<int()>& body) {
            return body();
        };
        m_environment.output = &m_output;
        m_environment.errors = &m_errors;
    }

    int run(std::vector<std::string> arguments) {
        m_output.str({});
        m_errors.str({});
        return run_command_line(m_environment, arguments);
    }

    /// Runs a command that takes --store and --operator.
    int submit(std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), {"--store", "10.0.1.1:2379", "--operator", "ana"});
        return run(std::move(arguments));
    }

    int query(std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), {"--store", "10.0.1.1:2379"});
        return run(std::move(arguments));
    }

    int control(std::vector<std::string> arguments) {
        arguments.insert(arguments.end(),
                         {"--control", "10.0.0.1:82", "--control", "10.0.0.2:82", "--token-file", "token"});
        return run(std::move(arguments));
    }

    fleet_configuration current() {
        scripted_store store(state);
        return configuration_submitter(store).load_current().value().configuration;
    }

    std::string output() const { return m_output.str(); }
    std::string errors() const { return m_errors.str(); }

    std::map<std::string, std::string> files;
    scripted_store_state state;
    bool store_is_down = false;
    std::function<call_fault(std::size_t)> fault = [](std::size_t) {
        return call_fault::none;
    };
    std::vector<control_request> requests;
    std::function<result<control_response>(const control_request&)> respond = [](const control_request&) {
        return control_response{200, R"({"state": "serving", "revision": 4})"};
    };
    command_environment m_environment;

private:
    std::ostringstream m_output;
    std::ostringstream m_errors;
    int m_random_calls = 0;
};

bool mentions(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a command that runs or fails when only its help was requested.
TEST_CASE_METHOD(command_fixture, "every command has help on standard output and usage errors on standard error") {
    const std::vector<std::vector<std::string>> commands = {{"host"},
                                                            {"check"},
                                                            {"submit"},
                                                            {"show"},
                                                            {"compare"},
                                                            {"rollback"},
                                                            {"key", "issue"},
                                                            {"key", "withdraw"},
                                                            {"shift", "plan"},
                                                            {"shift", "start"},
                                                            {"shift", "pause"},
                                                            {"shift", "resume"},
                                                            {"shift", "cancel"},
                                                            {"drain", "plan"},
                                                            {"drain", "start"},
                                                            {"drain", "cancel"},
                                                            {"status"},
                                                            {"explain"},
                                                            {"quarantine", "list"},
                                                            {"quarantine", "release"},
                                                            {"audit"},
                                                            {"version"}};
    for (auto command : commands) {
        INFO(command.front() << " " << command.back());
        auto with_help = command;
        with_help.emplace_back("--help");
        CHECK(run(with_help) == exit_success);
        CHECK(mentions(output(), "usage: ragworthinge " + command.front()));
        CHECK(errors().empty());
        command.emplace_back("--no-such-option");
        CHECK(run(command) == exit_usage);
        CHECK(output().empty());
        CHECK_FALSE(errors().empty());
        CHECK(run({command.front(), "--output", "xml"}) == exit_usage);
    }
    CHECK(run({}) == exit_usage);
    CHECK(run({"--help"}) == exit_success);
    CHECK(run({"shift", "--help"}) == exit_success);
    CHECK(run({"shift", "reverse"}) == exit_usage);
    CHECK(state.calls == 0);
}

// Guards against findings on the wrong output stream or with the wrong exit code; scripts rely on both.
TEST_CASE_METHOD(command_fixture, "check reports findings of all files") {
    files["bad.json"] = "{\"regoins\": []}";
    CHECK(run({"check", "sample.json"}) == exit_success);
    CHECK(run({"check", "sample.json", "bad.json"}) == exit_refused);
    CHECK(output().empty());
    CHECK(mentions(errors(), "bad.json:1:2: regoins: unknown field (did you mean 'regions'?)"));
    CHECK(run({"check", "bad.json", "--output", "json"}) == exit_refused);
    CHECK(errors().empty());
    CHECK(boost::json::parse(output()).at("findings").as_array().size() == 4);
    CHECK(run({"check", "missing.json"}) == exit_refused);
    CHECK(run({"check", "--print", "sample.json"}) == exit_success);
    CHECK(output() == files["sample.json"]);
}

// Guards against a check that says nothing of what a submission would change, or of entries without effect.
TEST_CASE_METHOD(command_fixture, "check warns and shows the differences from the configuration in force") {
    REQUIRE(submit({"submit", "sample.json"}) == exit_success);
    auto changed = sample_configuration();
    changed.client_accounts[0].burst = 40;
    files["changed.json"] = print_configuration(changed);
    CHECK(query({"check", "changed.json", "--against", "current"}) == exit_success);
    CHECK(output() == "~ client_accounts[alfa].burst: 20 -> 40\n");
    CHECK(mentions(errors(), "warning: changed.json:"));
    CHECK(mentions(errors(), "client_accounts[1].name: the client account has no key"));
    CHECK(query({"check", "changed.json", "--against", "1", "--strict", "--output", "json"}) == exit_refused);
    const auto report = boost::json::parse(output());
    CHECK(report.at("findings").as_array().empty());
    CHECK(report.at("changes").as_array().size() == 1);
    CHECK_FALSE(report.at("warnings").as_array().empty());
    CHECK(run({"check", "changed.json", "--against", "sample.json"}) == exit_success);
    CHECK(run({"check", "changed.json", "--against", "current"}) == exit_usage);
    CHECK(run({"check", "changed.json", "sample.json", "--against", "sample.json"}) == exit_usage);
    files["bad.json"] = "{}";
    CHECK(query({"check", "bad.json", "--against", "current"}) == exit_refused);
    CHECK(query({"check", "sample.json", "--against", "9"}) != exit_success);
}

// Guards against output of 'show' that cannot be submitted again, and against losing an earlier revision.
TEST_CASE_METHOD(command_fixture, "submit, show, compare, rollback and audit work together") {
    CHECK(query({"show"}) == exit_refused);
    REQUIRE(submit({"submit", "sample.json"}) == exit_success);
    REQUIRE(query({"show"}) == exit_success);
    files["shown.json"] = output();
    CHECK(submit({"submit", "shown.json"}) == exit_success);
    CHECK(mentions(output(), "nothing was changed"));
    auto changed = sample_configuration();
    changed.client_accounts[0].burst = 40;
    files["changed.json"] = print_configuration(changed);
    CHECK(query({"compare", "changed.json"}) == exit_success);
    CHECK(output() == "~ client_accounts[alfa].burst: 20 -> 40\n");
    CHECK(run({"compare", "sample.json", "changed.json"}) == exit_success);
    CHECK(run({"compare", "1", "2"}) == exit_usage);
    CHECK(submit({"submit", "changed.json", "--expect", "7"}) == exit_conflict);
    REQUIRE(submit({"submit", "changed.json", "--expect", "1", "--comment", "more burst", "--output", "json"}) ==
            exit_success);
    CHECK(boost::json::parse(output()).at("revision").as_int64() == 2);
    CHECK(query({"compare", "1", "2"}) == exit_success);
    CHECK(mentions(output(), "alfa"));
    REQUIRE(submit({"rollback", "1"}) == exit_success);
    CHECK(mentions(output(), "revision 3 is in force"));
    CHECK(current().client_accounts[0].burst == 20);
    CHECK(submit({"rollback", "9"}) == exit_refused);
    REQUIRE(query({"audit", "--limit", "2"}) == exit_success);
    CHECK(output() == "revision 3  2026-11-30T00:53:20Z  ana  rollback to 1  \"sample\"\n"
                      "revision 2  2026-11-30T00:53:20Z  ana  submit  \"more burst\"\n");
    files["bad.json"] = "{}";
    CHECK(submit({"submit", "bad.json"}) == exit_refused);
    CHECK(mentions(errors(), "regions: the required field is missing"));
}

// Guards against a conflict or an outage that is reported as success or with the wrong exit code.
TEST_CASE_METHOD(command_fixture, "conflicts, outages and unknown outcomes have their own exit codes") {
    REQUIRE(submit({"submit", "sample.json"}) == exit_success);
    auto changed = sample_configuration();
    changed.client_accounts[0].burst = 40;
    files["changed.json"] = print_configuration(changed);
    // Another operator's submission is committed between the reads and the transaction of this one.
    bool other_submitted = false;
    fault = [&](std::size_t call) {
        if (call != 2 || std::exchange(other_submitted, true))
            return call_fault::none;
        scripted_store other(state);
        configuration_submitter submitter(other);
        const auto base = submitter.load_current().value();
        auto requested = sample_configuration();
        requested.client_accounts[1].burst = 6;
        REQUIRE(submitter.submit(base, {requested, "eva", "submit", {}, "other"}).has_value());
        return call_fault::none;
    };
    CHECK(submit({"submit", "changed.json"}) == exit_conflict);
    CHECK(mentions(errors(), "revision 2 came first"));
    CHECK(mentions(errors(), "~ client_accounts[beta].burst: 6 -> 5"));
    CHECK(output().empty());
    fault = [](std::size_t call) {
        return call >= 2 ? call_fault::lost_request : call_fault::none;
    };
    CHECK(submit({"submit", "changed.json"}) == exit_unreachable);
    CHECK(mentions(errors(), "outcome_unknown"));
    store_is_down = true;
    CHECK(query({"show"}) == exit_unreachable);
    CHECK(submit({"key", "withdraw", "alfa-1"}) == exit_unreachable);
    CHECK(query({"audit"}) == exit_unreachable);
}

// Guards against printing a key that was not accepted, and against a digest that does not match the key.
TEST_CASE_METHOD(command_fixture, "keys are issued once and withdrawn") {
    REQUIRE(submit({"submit", "sample.json"}) == exit_success);
    const std::vector<std::string> issue = {"key",  "issue",  "--account",        "beta",
                                            "--id", "beta-1", "--fleet-key-file", "secret"};
    REQUIRE(submit(issue) == exit_success);
    const auto text = output();
    const auto key = text.substr(text.find("\nkey: ") + 6, 64);
    const auto stored = current().keys.at(1);
    CHECK(stored.account == "beta");
    CHECK(stored.digest == to_hex(hmac_sha256(fleet_secret, key)));
    for (const auto& [name, entry] : state.entries)
        CHECK_FALSE(mentions(entry.value, key));
    CHECK(submit(issue) == exit_refused);
    CHECK_FALSE(mentions(output(), "key: "));
    REQUIRE(submit({"key", "withdraw", "beta-1"}) == exit_success);
    CHECK(current().keys.size() == 1);
    CHECK(submit({"key", "withdraw", "beta-1"}) == exit_refused);
    // A rollback must not restore the withdrawn key without --restore-keys.
    REQUIRE(submit({"rollback", "2", "--comment", "x"}) == exit_success);
    CHECK(current().keys.size() == 1);
    REQUIRE(submit({"rollback", "2", "--restore-keys"}) == exit_success);
    CHECK(current().keys.size() == 2);
    fault = [](std::size_t call) {
        return call >= 2 ? call_fault::lost_request : call_fault::none;
    };
    auto second = issue;
    second[5] = "beta-2";
    CHECK(submit(second) == exit_unreachable);
    CHECK(output().empty());
}

// Guards against invalid state transitions, and against an automatic pause that remains after an operator's resume.
TEST_CASE_METHOD(command_fixture, "shifts and drains allow only valid state transitions") {
    REQUIRE(submit({"submit", "sample.json"}) == exit_success);
    CHECK(submit({"shift", "plan", "--id", "s2", "--from", "south", "--to", "north", "--service", "permits",
                  "--cap-requests", "20.5", "--cap-megabits", "281"}) == exit_refused);
    CHECK(mentions(errors(), "above the link's 280"));
    REQUIRE(submit({"shift", "plan", "--id", "s2", "--from", "south", "--to", "north", "--service", "permits",
                    "--cap-requests", "20.5", "--cap-megabits", "100"}) == exit_success);
    CHECK(submit({"shift", "pause", "s2"}) == exit_refused);
    CHECK(submit({"shift", "start", "s2"}) == exit_success);
    CHECK(submit({"shift", "start", "s2"}) == exit_refused);
    CHECK(submit({"shift", "pause", "s2"}) == exit_success);
    CHECK(submit({"shift", "resume", "s2"}) == exit_success);
    state.entries["shifts/s2"] = {"shifts/s2", "paused by a host", 1, 1};
    CHECK(submit({"shift", "resume", "s2"}) == exit_success);
    CHECK_FALSE(state.entries.contains("shifts/s2"));
    CHECK(current().shifts.at(1).state == shift_state::running);
    CHECK(submit({"shift", "cancel", "s2"}) == exit_success);
    CHECK(submit({"shift", "resume", "s2"}) == exit_refused);
    CHECK(submit({"shift", "cancel", "s9"}) == exit_refused);
    CHECK(submit({"drain", "plan", "--id", "d2", "--target", "host:h1", "--starts-at", "soon"}) == exit_refused);
    CHECK(submit({"drain", "plan", "--id", "d2", "--target", "host:h1"}) == exit_success);
    CHECK(submit({"drain", "start", "d2"}) == exit_success);
    CHECK(submit({"drain", "start", "d2"}) == exit_refused);
    CHECK(submit({"drain", "cancel", "d2"}) == exit_success);
    CHECK(current().drains.at(1).state == drain_state::cancelled);
}

// Guards against a request without the operator token, an id that is not percent-encoded, and a host failure that is
// not reported.
TEST_CASE_METHOD(command_fixture, "control commands call the hosts with the operator token") {
    CHECK(control({"status"}) == exit_success);
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].target == "/control/status");
    CHECK(requests[0].operator_token == operator_token);
    CHECK(mentions(output(), "host at 10.0.0.2:82\nstate: serving\nrevision: 4\n"));
    respond = [](const control_request& request) -> result<control_response> {
        if (request.endpoint.address == "10.0.0.1")
            return failure(error_code::unavailable, "refused");
        return control_response{200, "[]"};
    };
    CHECK(control({"status"}) == exit_unreachable);
    CHECK(mentions(errors(), "10.0.0.1:82: refused"));
    CHECK(control({"quarantine", "list", "--output", "json"}) == exit_unreachable);
    CHECK(boost::json::parse(output()).at("hosts").as_array().size() == 1);
    requests.clear();
    CHECK(control({"explain", "a/b&c"}) == exit_success);
    CHECK(requests.at(1).target == "/control/explain?id=a%2Fb%26c");
    CHECK(control({"quarantine", "release", "f1"}) == exit_success);
    CHECK(requests.back().method == "POST");
    CHECK(requests.back().target == "/control/quarantine/release?fingerprint=f1");
    for (const auto& [status, code] : {std::pair(401U, exit_refused), {404U, exit_refused}, {500U, exit_refused}}) {
        respond = [status = status](const control_request&) {
            return control_response{status, "{}"};
        };
        CHECK(control({"status"}) == code);
    }
    respond = [](const control_request&) {
        return control_response{200, "not JSON"};
    };
    CHECK(control({"status"}) == exit_refused);
    files["token"] = "short";
    CHECK(control({"status"}) == exit_refused);
    CHECK_FALSE(mentions(errors(), "short"));
}

// Guards against starting a host with invalid settings.
TEST_CASE_METHOD(command_fixture, "the host command validates the settings before it starts the host") {
    files["host.json"] = R"({"host": "h1"})";
    bool ran = false;
    m_environment.run_host = [&](const host_settings&) {
        ran = true;
        return 0;
    };
    CHECK(run({"host", "--settings", "host.json"}) == exit_refused);
    CHECK_FALSE(ran);
    CHECK(mentions(errors(), "host.json:1:1: listen.caller"));
}
