#include "host/region_state.h"

#include "host/budget_json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace ragworthinge {

namespace {

namespace json = boost::json;

template <class Value, class Reader>
result<Value> decode_with(std::string_view text, Reader&& reader) {
    try {
        return std::forward<Reader>(reader)(json::parse({text.data(), text.size()}));
    } catch (const std::exception& problem) {
        return failure(error_code::protocol_violation, std::string("store record: ") + problem.what());
    }
}

json::value to_json(const page_budget& item) {
    json::array parts;
    for (const region_part& part : item.parts)
        parts.push_back(json::array{to_json(part.ceiling), part.demand, part.carried});
    return json::array{to_json(item.budget), to_json(item.limit),   to_json(item.remainder),
                       item.released,        to_json(item.minimum), std::move(parts)};
}

page_budget read_page_budget(const json::value& value) {
    page_budget item{.budget = read_budget(value.at(0)),
                     .limit = read_amount(value.at(1)),
                     .remainder = read_amount(value.at(2)),
                     .released = value.at(3).to_number<units>(),
                     .minimum = read_amount(value.at(4))};
    for (const json::value& part : value.at(5).as_array())
        item.parts.push_back({.ceiling = read_amount(part.at(0)),
                              .demand = part.at(1).to_number<units>(),
                              .carried = part.at(2).to_number<units>()});
    return item;
}

result<region_allocator> decode_allocator(std::string_view text) {
    return decode_with<region_allocator>(text, [](const json::value& value) -> region_allocator {
        return {.epoch = value.at(0).to_number<allocator_epoch>(), .holder = read_holder(value.at(1))};
    });
}

} // namespace

const region_member* region_members::find(const holder_id& holder) const {
    const auto found = std::ranges::find(members, holder, &region_member::holder);
    return found == members.end() ? nullptr : &*found;
}

std::string region_prefix(const region_id& region) {
    return "region/" + region + "/";
}

std::string members_key(const region_id& region) {
    return region_prefix(region) + "members";
}

std::string allocator_key(const region_id& region) {
    return region_prefix(region) + "allocator";
}

std::string seen_key(const region_id& region, const host_id& host) {
    return region_prefix(region) + "seen/" + host;
}

std::string encode(const region_members& page) {
    json::array members;
    for (const region_member& member : page.members)
        members.push_back(json::array{to_json(member.holder), member.fenced, member.ended, member.joined});
    return json::serialize(json::array{page.revision, std::move(members)});
}

std::string encode(const region_allocator& allocator) {
    return json::serialize(json::array{allocator.epoch, to_json(allocator.holder)});
}

std::string encode_seen(const holder_id& holder, std::int64_t revision) {
    return json::serialize(json::array{to_json(holder), revision});
}

std::string encode(const ceiling_page& page) {
    json::array regions;
    for (const page_region& region : page.regions)
        regions.push_back(json::array{region.region, region.epoch, region.change});
    json::array budgets;
    for (const page_budget& item : page.budgets)
        budgets.push_back(to_json(item));
    return json::serialize(json::array{std::move(regions), std::move(budgets)});
}

result<region_members> decode_region_members(std::string_view text) {
    return decode_with<region_members>(text, [](const json::value& value) {
        region_members page{.revision = value.at(0).to_number<std::int64_t>()};
        for (const json::value& member : value.at(1).as_array())
            page.members.push_back({.holder = read_holder(member.at(0)),
                                    .fenced = member.at(1).as_bool(),
                                    .ended = member.at(2).as_bool(),
                                    .joined = member.at(3).to_number<std::int64_t>()});
        return page;
    });
}

result<region_state> decode_region_state(const region_id& region, const std::vector<store_entry>& entries) {
    const std::string seen_prefix = seen_key(region, {});
    region_state state;
    for (const store_entry& entry : entries) {
        if (entry.key == members_key(region)) {
            BOOST_OUTCOME_TRY(state.page, decode_region_members(entry.value));
            state.members_mod_revision = entry.mod_revision;
        } else if (entry.key == allocator_key(region)) {
            BOOST_OUTCOME_TRY(state.allocator, decode_allocator(entry.value));
            state.allocator_mod_revision = entry.mod_revision;
        } else if (entry.key.starts_with(seen_prefix)) {
            using acknowledgement = std::pair<holder_id, std::int64_t>;
            BOOST_OUTCOME_TRY(auto seen, decode_with<acknowledgement>(entry.value, [](const json::value& value) {
                                  return acknowledgement(read_holder(value.at(0)),
                                                         value.at(1).to_number<std::int64_t>());
                              }));
            state.seen.insert(std::move(seen));
        }
    }
    return state;
}

result<ceiling_page> decode_ceiling_page(std::string_view text) {
    return decode_with<ceiling_page>(text, [](const json::value& value) {
        ceiling_page page;
        for (const json::value& region : value.at(0).as_array())
            page.regions.push_back({.region = read_text(region.at(0)),
                                    .epoch = region.at(1).to_number<allocator_epoch>(),
                                    .change = region.at(2).to_number<std::uint64_t>()});
        for (const json::value& item : value.at(1).as_array())
            page.budgets.push_back(read_page_budget(item));
        return page;
    });
}

} // namespace ragworthinge
