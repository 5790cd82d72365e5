#include "gateway/reported_load.h"

#include "gateway/gateway_fixture.h"

using namespace ragworthinge;
using namespace std::chrono_literals;

// Guards against a fourth figure that is lost, and against one that spoils the other three.
TEST_CASE("the fourth figure of a reported load is read without an effect on the others") {
    for (const auto& [text, factor] : std::vector<std::pair<std::string, double>>{
             {"3,1,8,100", 1}, {"3,1,8,250", 2.5}, {"3,1,8,87.5,7,x", 0.875}, {"3, 1, 8, 40", 0.4}}) {
        INFO(text);
        const auto load = parse_reported_load(text);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 1);
        REQUIRE(load->work_factor);
        CHECK(*load->work_factor == Approx(factor));
    }
    for (const std::string fourth : {"", ",", ",0", ",-250", ",nan", ",inf", ",infinity", ",1e400", ",0x64", ",fast",
                                     ",250%", ",99 99", ",,250"}) {
        INFO(fourth);
        const auto load = parse_reported_load("3,1,8" + fourth);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 1);
        CHECK_FALSE(load->work_factor);
    }
    for (const std::string bad : {"", "3", "3,", "x,1,8,250", "-3,1,8,250", "3,1.5,8,250", "99999999999,1,8,250"})
        CHECK_FALSE(parse_reported_load(bad));
}

// Guards against a wrong figure that excludes an upstream for good or makes its estimates vanish.
TEST_CASE("an upstream with an absurd figure still gets requests") {
    gateway_fixture host;
    host.add_upstream("one", [](const auto& request) {
        return scripted_upstream::reply{
            make_response(request, 200, "x", "X-Receipt: r\r\nX-Load: 1,0,4,99999999999999999999\r\n")};
    });
    host.run([&] {
        CHECK(host.send(host.make_request()).status == 200);
        CHECK(host.fleet.find_upstream("one")->speed().factor(boot_time_now()) <= 20);
        host.runtime.sleep_for(1500ms);
        CHECK(host.send(host.make_request()).status == 200);
    });
}
