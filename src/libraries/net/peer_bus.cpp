#include "net/peer_bus.h"

#include "net/await_io.h"
#include "net/fiber_runtime.h"
#include "net/message_authenticator.h"

#include <boost/asio/post.hpp>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <atomic>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace ragworthinge {

namespace {

constexpr nng_duration reconnect_minimum_ms = 20;
constexpr nng_duration reconnect_maximum_ms = 500;

std::string to_url(const network_endpoint& endpoint) {
    const bool ipv6 = endpoint.address.find(':') != std::string::npos;
    const std::string address = ipv6 ? "[" + endpoint.address + "]" : endpoint.address;
    return "tcp://" + address + ":" + std::to_string(endpoint.port);
}

error nng_error(const char* operation, int code) {
    const auto kind = code == NNG_ETIMEDOUT ? error_code::timeout : error_code::unavailable;
    return {kind, std::string(operation) + ": " + nng_strerror(code)};
}

std::string_view message_body(nng_msg* message) {
    return {static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message)};
}

nng_msg* make_message(std::string_view bytes) {
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0)
        return nullptr;
    if (nng_msg_append(message, bytes.data(), bytes.size()) != 0) {
        nng_msg_free(message);
        return nullptr;
    }
    return message;
}

/// One outgoing request. nng calls `on_aio_completed` on its own threads; the waiting fiber resumes on the runtime's
/// thread.
class outgoing_call {
public:
    outgoing_call(fiber_runtime& runtime, nng_socket socket, duration timeout) : m_runtime(runtime) {
        m_failure = nng_ctx_open(&m_context, socket);
        m_context_open = m_failure == 0;
        if (m_failure == 0)
            m_failure = nng_aio_alloc(&m_aio, &outgoing_call::on_aio_completed, this);
        if (m_aio != nullptr)
            nng_aio_set_timeout(m_aio, static_cast<nng_duration>(
                                           std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
    }
    outgoing_call(const outgoing_call&) = delete;
    outgoing_call& operator=(const outgoing_call&) = delete;
    ~outgoing_call() {
        if (m_aio != nullptr)
            nng_aio_free(m_aio);
        if (m_context_open)
            nng_ctx_close(m_context);
    }

    result<std::string> run(std::string_view bytes) {
        if (m_failure != 0)
            return nng_error("opening a request", m_failure);
        nng_msg* message = make_message(bytes);
        if (message == nullptr)
            return failure(error_code::budget_exhausted, "out of memory for a peer message");

        await_io([&](auto handler) {
            m_handler.emplace(handler);
            nng_aio_set_msg(m_aio, message);
            nng_ctx_send(m_context, m_aio);
        });
        if (m_failure != 0)
            return nng_error("request to a peer", m_failure);
        return std::move(m_reply);
    }

private:
    static void on_aio_completed(void* self) { static_cast<outgoing_call*>(self)->handle_completion(); }

    void handle_completion() {
        m_failure = nng_aio_result(m_aio);
        if (m_failure != 0 && !m_sent)
            nng_msg_free(nng_aio_get_msg(m_aio));
        if (m_failure == 0 && !m_sent) {
            m_sent = true;
            nng_ctx_recv(m_context, m_aio);
            return;
        }
        if (m_failure == 0) {
            nng_msg* message = nng_aio_get_msg(m_aio);
            m_reply = message_body(message);
            nng_msg_free(message);
        }
        boost::asio::post(m_runtime.io(), [handler = *m_handler]() mutable { handler(boost::system::error_code()); });
    }

    fiber_runtime& m_runtime;
    nng_ctx m_context{};
    nng_aio* m_aio = nullptr;
    std::optional<io_handler> m_handler;
    std::string m_reply;
    int m_failure = 0;
    bool m_context_open = false;
    bool m_sent = false;
};

/// Receives and answers requests of peers one at a time.
class request_worker {
public:
    request_worker(fiber_runtime& runtime, nng_socket socket, const peer_bus::handler& on_request,
                   const message_authenticator& authenticator, std::atomic<std::uint64_t>& bytes)
        : m_runtime(runtime), m_on_request(on_request), m_authenticator(authenticator), m_bytes(bytes) {
        m_usable = nng_ctx_open(&m_context, socket) == 0 &&
                   nng_aio_alloc(&m_aio, &request_worker::on_aio_completed, this) == 0;
    }
    request_worker(const request_worker&) = delete;
    request_worker& operator=(const request_worker&) = delete;
    ~request_worker() {
        if (m_aio != nullptr)
            nng_aio_free(m_aio);
    }

    void receive() {
        m_sending = false;
        if (m_usable)
            nng_ctx_recv(m_context, m_aio);
    }

private:
    static void on_aio_completed(void* self) { static_cast<request_worker*>(self)->handle_completion(); }

    void handle_completion() {
        const int failure = nng_aio_result(m_aio);
        if (m_sending) {
            if (failure != 0)
                nng_msg_free(nng_aio_get_msg(m_aio));
            if (failure != NNG_ECLOSED)
                receive();
            return;
        }
        if (failure == NNG_ECLOSED || failure == NNG_ECANCELED)
            return;
        if (failure != 0) {
            receive();
            return;
        }
        nng_msg* message = nng_aio_get_msg(m_aio);
        std::string request(message_body(message));
        nng_msg_free(message);
        m_bytes += request.size();
        m_runtime.post([this, request = std::move(request)] { handle_request(request); });
    }

    void handle_request(const std::string& request) {
        const auto verified = m_authenticator.verify(request);
        if (!verified) {
            // An unauthenticated sender gets no reply, which would disclose information; its request times out.
            receive();
            return;
        }
        const std::string reply = m_authenticator.sign(verified.value().nonce, m_on_request(verified.value().payload));
        m_bytes += reply.size();
        nng_msg* message = make_message(reply);
        if (message == nullptr) {
            receive();
            return;
        }
        m_sending = true;
        nng_aio_set_msg(m_aio, message);
        nng_ctx_send(m_context, m_aio);
    }

    fiber_runtime& m_runtime;
    const peer_bus::handler& m_on_request;
    const message_authenticator& m_authenticator;
    std::atomic<std::uint64_t>& m_bytes;
    nng_ctx m_context{};
    nng_aio* m_aio = nullptr;
    bool m_usable = false;
    bool m_sending = false;
};

class nng_peer_bus final : public peer_bus {
public:
    nng_peer_bus(fiber_runtime& runtime, peer_bus_options options, handler on_request)
        : m_runtime(runtime), m_on_request(std::move(on_request)), m_authenticator(options.fleet_secret),
          m_options(std::move(options)) {}
    nng_peer_bus(const nng_peer_bus&) = delete;
    nng_peer_bus& operator=(const nng_peer_bus&) = delete;
    ~nng_peer_bus() override {
        nng_close(m_listener);
        m_workers.clear();
        for (const auto& [endpoint, socket] : m_sockets)
            nng_close(socket);
    }

    result<void> listen() {
        int code = nng_rep0_open(&m_listener);
        if (code == 0)
            code = nng_listen(m_listener, to_url(m_options.listen).c_str(), nullptr, 0);
        if (code != 0)
            return nng_error("listening for peers", code);
        for (std::size_t index = 0; index < m_options.parallel_requests; ++index) {
            m_workers.push_back(
                std::make_unique<request_worker>(m_runtime, m_listener, m_on_request, m_authenticator, m_bytes));
            m_workers.back()->receive();
        }
        return boost::outcome_v2::success();
    }

    result<std::string> request(const network_endpoint& peer, std::string_view payload, duration timeout) override {
        BOOST_OUTCOME_TRY(const nng_socket socket, socket_to(peer));
        const std::uint64_t nonce = m_random();
        const std::string message = m_authenticator.sign(nonce, payload);
        m_bytes += message.size();

        outgoing_call call(m_runtime, socket, timeout);
        BOOST_OUTCOME_TRY(const std::string reply, call.run(message));
        m_bytes += reply.size();
        BOOST_OUTCOME_TRY(auto verified, m_authenticator.verify(reply));
        if (verified.nonce != nonce)
            return failure(error_code::unauthorized, "the reply belongs to another request");
        return std::move(verified.payload);
    }

    std::uint64_t bytes_transferred() const override { return m_bytes; }

private:
    result<nng_socket> socket_to(const network_endpoint& peer) {
        if (const auto found = m_sockets.find(peer); found != m_sockets.end())
            return found->second;

        nng_socket socket{};
        if (const int code = nng_req0_open(&socket); code != 0)
            return nng_error("opening a socket to a peer", code);
        // Disables resending: by default nng repeats an unanswered request.
        nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnect_minimum_ms);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnect_maximum_ms);
        if (const int code = nng_dial(socket, to_url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK); code != 0) {
            nng_close(socket);
            return nng_error("connecting to a peer", code);
        }
        m_sockets.emplace(peer, socket);
        return socket;
    }

    fiber_runtime& m_runtime;
    handler m_on_request;
    message_authenticator m_authenticator;
    peer_bus_options m_options;
    nng_socket m_listener{};
    std::vector<std::unique_ptr<request_worker>> m_workers;
    std::map<network_endpoint, nng_socket> m_sockets;
    std::mt19937_64 m_random{std::random_device{}()};
    std::atomic<std::uint64_t> m_bytes{0};
};

} // namespace

result<std::unique_ptr<peer_bus>> peer_bus::open(fiber_runtime& runtime, peer_bus_options options, handler on_request) {
    auto bus = std::make_unique<nng_peer_bus>(runtime, std::move(options), std::move(on_request));
    BOOST_OUTCOME_TRYV(bus->listen());
    return std::unique_ptr<peer_bus>(std::move(bus));
}

} // namespace ragworthinge
