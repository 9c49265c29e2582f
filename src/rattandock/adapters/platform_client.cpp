#include "rattandock/adapters/platform_client.hpp"

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <mutex>
#include <random>

#include "detail/circuit_breaker.hpp"
#include "detail/platform_exchange.hpp"
#include "rattandock/adapters/http_message.hpp"

namespace rattandock::adapters {

namespace json = boost::json;
using detail::PlatformExchange;
using detail::PlatformRequest;
using End = PlatformExchange::End;

namespace {

/// 507 states that there is no room, so it is final; other 5xx may end.
bool mayPass(unsigned status)
{
    return status >= 500 && status != 507;
}

std::optional<json::object> parseObject(const std::string &body)
{
    json::error_code ec;
    json::value value = json::parse(body, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

const json::array *arrayOf(const std::optional<json::object> &object, std::string_view key)
{
    const json::value *const value = object ? object->if_contains(key) : nullptr;
    return value != nullptr ? value->if_array() : nullptr;
}

std::optional<std::string> textOf(const json::object &object, std::string_view key)
{
    const json::value *const value = object.if_contains(key);
    const json::string *const text = value != nullptr ? value->if_string() : nullptr;
    return text != nullptr ? std::optional{std::string{text->c_str(), text->size()}} : std::nullopt;
}

std::optional<std::uint64_t> numberOf(const json::object &object, std::string_view key)
{
    const json::value *const value = object.if_contains(key);
    json::error_code ec;
    const auto number = value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(ec)
                                                               : (ec = json::error::not_number, 0);
    return ec ? std::nullopt : std::optional{number};
}

std::optional<PlatformRow> rowOf(const json::object &object)
{
    const auto key = textOf(object, "key");
    const auto value = textOf(object, "value");
    const auto version = numberOf(object, "version");
    if (!key || !value || !version) {
        return std::nullopt;
    }
    return PlatformRow{*key, *value, *version};
}

std::optional<PlatformCheck> checkOf(const json::object &object)
{
    const auto key = textOf(object, "key");
    const auto version = numberOf(object, "version");
    return key && version ? std::optional{PlatformCheck{*key, *version}} : std::nullopt;
}

std::optional<PlatformVm> vmOf(const json::object &object)
{
    const auto id = textOf(object, "name");
    const auto state = textOf(object, "state");
    if (!id || !state || (*state != "live" && *state != "leaving")) {
        return std::nullopt;
    }
    return PlatformVm{*id,
                      *state == "live" ? core::UpstreamLife::Live : core::UpstreamLife::Leaving};
}

/// Nothing if the array is missing or one of its items is not of the protocol.
template <typename Read>
auto listOf(const std::string &body, std::string_view key, Read read)
        -> std::optional<std::vector<typename decltype(read(json::object{}))::value_type>>
{
    const auto object = parseObject(body);
    const json::array *const array = arrayOf(object, key);
    if (array == nullptr) {
        return std::nullopt;
    }
    std::vector<typename decltype(read(json::object{}))::value_type> list;
    for (const json::value &it : *array) {
        const auto item = it.is_object() ? read(it.get_object()) : std::nullopt;
        if (!item) {
            return std::nullopt;
        }
        list.push_back(*item);
    }
    return list;
}

std::string bodyOf(const PlatformTransaction &transaction)
{
    json::array checks;
    for (const PlatformCheck &it : transaction.checks) {
        checks.push_back(json::object{{"key", it.key}, {"version", it.version}});
    }
    json::array writes;
    for (const PlatformWrite &it : transaction.writes) {
        writes.push_back(json::object{
                {"key", it.key}, {"value", it.value ? json::value(*it.value) : json::value()}});
    }
    return json::serialize(json::object{{"operation", transaction.operation},
                                        {"checks", std::move(checks)},
                                        {"writes", std::move(writes)}});
}

} // namespace

std::string_view name(PlatformRefusal reason)
{
    static constexpr std::array<std::string_view, platformRefusalCount> names{
            "unavailable", "circuit-open", "rejected", "full", "bad-reply"};
    return names.at(static_cast<std::size_t>(reason));
}

struct PlatformClient::State
{
    State(IoThreads &io, const ports::Clock &time, Metrics &counters, PlatformClientOptions with)
        : threads(io)
        , clock(time)
        , metrics(counters)
        , options(std::move(with))
        , breaker(options.failuresToOpen, options.openTime)
        , retries(options.retriesPerCall, options.maxRetries)
        , random(options.seed)
    {
    }

    /// What the tries of one call came to.
    struct Outcome
    {
        /// End::Replied only with a final status.
        PlatformExchange last;
        bool isCircuitOpen = false;
        /// A try before the last may have taken effect.
        bool isInDoubt = false;
    };

    IoThreads &threads;
    const ports::Clock &clock;
    Metrics &metrics;
    const PlatformClientOptions options;
    detail::CircuitBreaker breaker;
    detail::RetryTokens retries;
    std::mutex randomMutex;
    std::mt19937_64 random;

    /// `repeatable`: a try in doubt may be followed by another.
    Outcome call(const PlatformRequest &request, bool repeatable);
    PlatformExchange tryOnce(const PlatformRequest &request, Duration left);
    void pause(unsigned retry, TimePoint end);
    PlatformRefused refusal(const Outcome &outcome);

    template <typename T>
    PlatformResult<T> counted(PlatformResult<T> result)
    {
        static constexpr std::array<std::string_view, 4> names{"done", "conflict", "refused",
                                                               "unknown"};
        const auto *const refused = std::get_if<PlatformRefused>(&result);
        metrics.count("platform_calls",
                      refused != nullptr ? name(refused->reason) : names.at(result.index()));
        return result;
    }
};

PlatformExchange PlatformClient::State::tryOnce(const PlatformRequest &request, Duration left)
{
    PlatformExchange last =
            detail::exchange(threads.io(IoThreads::current()), options.address, request,
                             std::min(left, options.tryTimeout), options.maxReplyBytes);
    if (last.end == End::Replied && mayPass(last.status)) {
        last.end = End::NoReply;
    }
    breaker.onEnd(last.end != End::Replied, clock.now());
    return last;
}

void PlatformClient::State::pause(unsigned retry, TimePoint end)
{
    constexpr unsigned maxDoublings = 6;
    std::uniform_real_distribution<double> share{0.5, 1.0};
    double part = 0;
    {
        const std::lock_guard lock{randomMutex};
        part = share(random);
    }
    const auto span = std::chrono::duration_cast<Duration>(
            options.firstPause * (1U << std::min(retry, maxDoublings)) * part);
    boost::this_fiber::sleep_for(std::clamp(span, Duration::zero(), end - clock.now()));
}

PlatformClient::State::Outcome PlatformClient::State::call(const PlatformRequest &request,
                                                           bool repeatable)
{
    retries.earn();
    const TimePoint end = clock.now() + options.deadline;
    Outcome outcome;
    for (unsigned retry = 0;; ++retry) {
        if (!breaker.allows(clock.now())) {
            outcome.isCircuitOpen = true;
            return outcome;
        }
        outcome.last = tryOnce(request, end - clock.now());
        if (outcome.last.end == End::Replied) {
            return outcome;
        }
        outcome.isInDoubt = outcome.isInDoubt || outcome.last.end == End::NoReply;
        if ((outcome.isInDoubt && !repeatable) || !retries.spend()) {
            return outcome;
        }
        pause(retry, end);
        if (clock.now() >= end) {
            return outcome;
        }
    }
}

PlatformRefused PlatformClient::State::refusal(const Outcome &outcome)
{
    if (outcome.last.end == End::Replied && !outcome.isCircuitOpen) {
        return {outcome.last.status == 507 ? PlatformRefusal::Full : PlatformRefusal::Rejected};
    }
    return {outcome.isCircuitOpen ? PlatformRefusal::CircuitOpen : PlatformRefusal::Unavailable};
}

PlatformClient::PlatformClient(IoThreads &threads, const ports::Clock &clock, Metrics &metrics,
                               PlatformClientOptions options)
    : m_state(std::make_unique<State>(threads, clock, metrics, std::move(options)))
{
}

PlatformClient::~PlatformClient() = default;

PlatformResult<std::optional<PlatformRow>> PlatformClient::readRow(const std::string &key)
{
    using Result = PlatformResult<std::optional<PlatformRow>>;
    const auto outcome = m_state->call({"GET", "/table/" + percentEncode(key), {}}, true);
    Result result = m_state->refusal(outcome);
    if (outcome.last.end == End::Replied && outcome.last.status == 404) {
        result = PlatformDone<std::optional<PlatformRow>>{};
    } else if (outcome.last.end == End::Replied && outcome.last.status == 200) {
        const auto object = parseObject(outcome.last.body);
        auto row = object ? rowOf(*object) : std::nullopt;
        result = row ? Result{PlatformDone<std::optional<PlatformRow>>{std::move(row)}}
                     : Result{PlatformRefused{PlatformRefusal::BadReply}};
    }
    return m_state->counted<std::optional<PlatformRow>>(std::move(result));
}

PlatformResult<std::vector<PlatformRow>> PlatformClient::readPrefix(const std::string &prefix)
{
    using Result = PlatformResult<std::vector<PlatformRow>>;
    const auto outcome = m_state->call({"GET", "/table?prefix=" + percentEncode(prefix), {}}, true);
    Result result = m_state->refusal(outcome);
    if (outcome.last.end == End::Replied && outcome.last.status == 200) {
        auto rows = listOf(outcome.last.body, "rows", rowOf);
        result = rows ? Result{PlatformDone<std::vector<PlatformRow>>{std::move(*rows)}}
                      : Result{PlatformRefused{PlatformRefusal::BadReply}};
    }
    return m_state->counted<std::vector<PlatformRow>>(std::move(result));
}

PlatformResult<std::uint64_t> PlatformClient::transact(const PlatformTransaction &transaction)
{
    using Result = PlatformResult<std::uint64_t>;
    const auto outcome = m_state->call({"POST", "/table/transact", bodyOf(transaction)}, true);
    const PlatformExchange &last = outcome.last;
    Result result = PlatformUnknown{};
    if (last.end != End::Replied) {
        if (!outcome.isInDoubt) {
            result = m_state->refusal(outcome);
        }
    } else if (last.status == 200) {
        const auto object = parseObject(last.body);
        if (const auto version = object ? numberOf(*object, "version") : std::nullopt) {
            result = PlatformDone<std::uint64_t>{*version};
        }
    } else if (last.status == 409) {
        if (auto present = listOf(last.body, "conflicts", checkOf)) {
            result = PlatformConflict{std::move(*present)};
        }
    } else if (!outcome.isInDoubt || last.status == 507) {
        // A repetition gets the first result, so a 507 speaks of the first try too. After doubt no
        // other status does.
        result = m_state->refusal(outcome);
    }
    return m_state->counted<std::uint64_t>(std::move(result));
}

PlatformResult<std::optional<std::string>> PlatformClient::getObject(const std::string &name)
{
    using Result = PlatformResult<std::optional<std::string>>;
    auto outcome = m_state->call({"GET", "/objects/" + percentEncode(name), {}}, true);
    Result result = m_state->refusal(outcome);
    if (outcome.last.end == End::Replied && outcome.last.status == 404) {
        result = PlatformDone<std::optional<std::string>>{};
    } else if (outcome.last.end == End::Replied && outcome.last.status == 200) {
        result = PlatformDone<std::optional<std::string>>{std::move(outcome.last.body)};
    }
    return m_state->counted<std::optional<std::string>>(std::move(result));
}

PlatformResult<std::monostate> PlatformClient::putObject(const std::string &name,
                                                         const std::string &body)
{
    const auto outcome = m_state->call({"PUT", "/objects/" + percentEncode(name), body}, false);
    if (outcome.last.end == End::Replied && outcome.last.status == 200) {
        return m_state->counted<std::monostate>(PlatformDone<std::monostate>{});
    }
    if (!outcome.isInDoubt) {
        return m_state->counted<std::monostate>(m_state->refusal(outcome));
    }
    // Another body proves nothing: the write may yet take effect.
    const auto present = getObject(name);
    const auto *const done = std::get_if<PlatformDone<std::optional<std::string>>>(&present);
    if (done != nullptr && done->value == body) {
        return m_state->counted<std::monostate>(PlatformDone<std::monostate>{});
    }
    return m_state->counted<std::monostate>(PlatformUnknown{});
}

PlatformResult<std::vector<PlatformVm>> PlatformClient::listVms()
{
    using Result = PlatformResult<std::vector<PlatformVm>>;
    const auto outcome = m_state->call({"GET", "/vms", {}}, true);
    Result result = m_state->refusal(outcome);
    if (outcome.last.end == End::Replied && outcome.last.status == 200) {
        auto vms = listOf(outcome.last.body, "vms", vmOf);
        result = vms ? Result{PlatformDone<std::vector<PlatformVm>>{std::move(*vms)}}
                     : Result{PlatformRefused{PlatformRefusal::BadReply}};
    }
    return m_state->counted<std::vector<PlatformVm>>(std::move(result));
}

} // namespace rattandock::adapters
