#include "configuration/host_settings.h"

#include "configuration/settings_document.h"

#include <algorithm>
#include <map>
#include <set>

namespace ragworthinge {

namespace {

constexpr std::size_t shortest_secret_bytes = 16;

const std::vector<std::pair<std::string, log_level>>& log_levels() {
    static const std::vector<std::pair<std::string, log_level>> levels = {
        {"debug", log_level::debug}, {"info", log_level::info}, {"warn", log_level::warn}, {"error", log_level::error}};
    return levels;
}

ip_endpoint read_endpoint(object_reader& reader, std::string_view name) {
    return reader.parsed(name, presence::required, [](std::string_view text) -> result<ip_endpoint> {
        BOOST_OUTCOME_TRY(auto endpoint, parse_ip_endpoint(text));
        BOOST_OUTCOME_TRY(const auto address, parse_ip_address(endpoint.address));
        if (address.is_unspecified() || address.is_multicast())
            return failure(error_code::invalid_argument,
                           "must be the address of one host, because others connect to it");
        return endpoint;
    });
}

std::string read_file_name(object_reader& reader, std::string_view name) {
    auto file = reader.text(name, presence::required);
    // A relative name would depend on the directory in which the process was started.
    if (!file.empty() && file.front() != '/')
        reader.report(name, "must be the absolute name of a file", "the secret itself does not belong here");
    return file;
}

listen_settings read_listen(object_reader& reader) {
    listen_settings listen;
    listen.caller = read_endpoint(reader, "caller");
    listen.peer = read_endpoint(reader, "peer");
    listen.control = read_endpoint(reader, "control");
    if (listen.peer.port != 0 && listen.peer == listen.caller)
        reader.report("peer", "is also the address for callers");
    if (listen.control.port != 0 && (listen.control == listen.caller || listen.control == listen.peer))
        reader.report("control", "is also the address for callers or peers");
    return listen;
}

peer_settings read_peer(object_reader& reader) {
    peer_settings peer;
    peer.host = reader.name("host");
    peer.region = reader.name("region");
    peer.failure_domain = reader.name("failure_domain");
    peer.caller = read_endpoint(reader, "caller");
    peer.peer = read_endpoint(reader, "peer");
    return peer;
}

store_settings read_store(object_reader& reader) {
    store_settings store;
    const auto texts = reader.texts("endpoints", presence::required);
    for (std::size_t i = 0; i < texts.size(); ++i) {
        const auto endpoint = parse_ip_endpoint(texts[i]);
        const auto name = "endpoints[" + std::to_string(i) + "]";
        if (!endpoint)
            reader.report(name, endpoint.error().message);
        else if (std::find(store.endpoints.begin(), store.endpoints.end(), endpoint.value()) != store.endpoints.end())
            reader.report(name, "is listed twice");
        else
            store.endpoints.push_back(endpoint.value());
    }
    store.region = reader.name("region");
    return store;
}

void check_peers(object_reader& reader, const host_settings& settings) {
    std::set<host_id> names = {settings.host};
    std::map<ip_endpoint, std::string> addresses = {{settings.listen.caller, "this host"},
                                                    {settings.listen.peer, "this host"},
                                                    {settings.listen.control, "this host"}};
    for (std::size_t i = 0; i < settings.peers.size(); ++i) {
        const auto& peer = settings.peers[i];
        const auto path = "peers[" + std::to_string(i) + "]";
        if (!peer.host.empty() && peer.host == settings.host)
            reader.report(path + ".host", "names this host itself", "remove it from its own list of peers");
        else if (!peer.host.empty() && !names.insert(peer.host).second)
            reader.report(path + ".host", "names a host that is listed before");
        for (const auto& [field, endpoint] : {std::pair(".caller", peer.caller), std::pair(".peer", peer.peer)}) {
            if (endpoint.port == 0)
                continue;
            const auto [used, added] = addresses.emplace(endpoint, "host '" + peer.host + "'");
            if (!added)
                reader.report(path + field, "is already an address of " + used->second);
        }
    }
}

host_settings read_settings(object_reader& reader) {
    host_settings settings;
    settings.host = reader.name("host");
    settings.region = reader.name("region");
    settings.failure_domain = reader.name("failure_domain");
    reader.object("listen", presence::required, [&](object_reader& listen) { settings.listen = read_listen(listen); });
    reader.objects("peers", presence::optional,
                   [&](object_reader& peer) { settings.peers.push_back(read_peer(peer)); });
    reader.object("store", presence::required, [&](object_reader& store) { settings.store = read_store(store); });
    reader.object("secrets", presence::required, [&](object_reader& secrets) {
        settings.secrets.fleet_key_file = read_file_name(secrets, "fleet_key_file");
        settings.secrets.operator_token_file = read_file_name(secrets, "operator_token_file");
    });
    reader.object("log", presence::optional,
                  [&](object_reader& log) { settings.log.level = log.choice("level", log_levels(), log_level::info); });
    reader.object("tls", presence::optional, [&](object_reader& tls) {
        settings.tls.emplace();
        settings.tls->certificate_file = read_file_name(tls, "certificate_file");
        settings.tls->key_file = read_file_name(tls, "key_file");
    });
    check_peers(reader, settings);
    reader.finish();
    return settings;
}

} // namespace

host_settings_result read_host_settings(const std::string& file, std::string_view text) {
    return read_settings_document<host_settings_result>(file, text, read_settings);
}

std::vector<std::string> host_settings_fields() {
    return settings_fields(read_settings);
}

result<std::string> secret_from_file_content(std::string_view content) {
    const auto end = content.find_last_not_of("\r\n");
    const auto secret = end == std::string_view::npos ? std::string_view{} : content.substr(0, end + 1);
    if (secret.size() < shortest_secret_bytes)
        return failure(error_code::invalid_argument,
                       "a secret file must hold at least " + std::to_string(shortest_secret_bytes) + " bytes");
    return std::string(secret);
}

} // namespace ragworthinge
