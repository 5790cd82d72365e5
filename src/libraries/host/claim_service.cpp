#include "host/claim_service.h"

#include "net/fiber_runtime.h"
#include "store/platform_store.h"

#include <utility>

namespace ragworthinge {

namespace {

constexpr std::chrono::milliseconds tick_period{10};

claim_time current_time() {
    return {.now = monotonic_clock::now(), .wall = wall_clock::now()};
}

} // namespace

claim_service::claim_service(fiber_runtime& runtime, timer_service& timers, platform_store& store,
                             claim_manager_options options, std::chrono::seconds retention)
    : m_runtime(runtime), m_store(store), m_retention(retention), m_book(std::move(options)),
      m_tick(timers.subscribe(tick_period, [this](time_point now) {
          if (m_book.needs_lease(now))
              renew_lease();
          start_work();
          deliver();
      })) {}

claim_service::claim claim_service::acquire(const claim_request& request) {
    auto started = m_book.begin(request, current_time());
    if (started.decision)
        return {.ticket = started.ticket, .decision = std::move(*started.decision)};

    waiting_claim waiting;
    m_waiting.emplace(started.ticket, &waiting);
    start_work();
    waiting.decision_ready.wait();
    return {.ticket = started.ticket, .decision = std::move(waiting.decision)};
}

void claim_service::complete(claim_ticket ticket, stored_response response) {
    m_book.complete(ticket, std::move(response));
    start_work();
}

void claim_service::complete_unknown(claim_ticket ticket) {
    m_book.complete_unknown(ticket);
    start_work();
}

void claim_service::release(claim_ticket ticket) {
    m_book.release(ticket);
    start_work();
}

void claim_service::start_work() {
    if (m_working)
        return;
    m_working = true;
    m_runtime.spawn([this] {
        work();
        m_working = false;
    });
}

void claim_service::work() {
    while (auto next = m_book.next_batch(current_time())) {
        const auto outcome = m_store.commit(next->transaction);
        m_book.on_result(next->id, outcome, current_time());
        deliver();
    }
}

void claim_service::renew_lease() {
    if (m_renewing_lease)
        return;
    m_renewing_lease = true;
    m_runtime.spawn([this] {
        constexpr std::chrono::milliseconds pause_after_failure{250};
        const time_point asked_at = monotonic_clock::now();
        if (const auto lease = m_store.grant_lease(m_retention))
            m_book.set_lease(lease.value(), asked_at);
        else
            m_runtime.sleep_for(pause_after_failure);
        m_renewing_lease = false;
    });
}

void claim_service::deliver() {
    for (claim_manager::decision_ready& item : m_book.take_decisions(current_time())) {
        const auto found = m_waiting.find(item.ticket);
        if (found == m_waiting.end())
            continue;
        waiting_claim* waiting = found->second;
        m_waiting.erase(found);
        waiting->decision = std::move(item.decision);
        waiting->decision_ready.set();
    }
}

} // namespace ragworthinge
