#include "standins/platform/standin_platform.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "rattandock/adapters/job_json.hpp"
#include "standins/platform/transaction_json.hpp"

namespace rattandock::standins {

namespace json = boost::json;
using adapters::HttpRequest;
using adapters::HttpResponse;

namespace {

constexpr std::string_view tablePrefix = "/table/";
constexpr std::string_view objectPrefix = "/objects/";
constexpr std::chrono::milliseconds waitStep{10};

HttpResponse reply(unsigned status, const json::value &value)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(value) + '\n';
    return response;
}

HttpResponse badRequest(std::string_view error, const Findings &findings)
{
    HttpResponse response;
    response.status = 400;
    response.body = adapters::formatError(error, findings);
    return response;
}

json::object rowObject(const std::string &key, const TableRow &row)
{
    return {{"key", key}, {"value", row.value}, {"version", row.version}};
}

bool isWrite(const HttpRequest &request)
{
    return request.method == "POST" || request.method == "PUT";
}

} // namespace

StandinPlatform::StandinPlatform(const PlatformLimits &limits, const ports::Clock &clock,
                                 std::string vms)
    : m_clock(clock)
    , m_table(limits.table)
    , m_objects(limits.maxObjectBytes)
    , m_vms(std::move(vms))
{
}

HttpResponse StandinPlatform::serve(const HttpRequest &request)
{
    if (request.path == "/faults" || (request.path == "/vms" && request.method == "PUT")) {
        return control(request);
    }
    PlatformFaults faults;
    {
        const std::lock_guard lock{m_mutex};
        faults = m_faults;
    }
    HttpResponse response;
    if (!faults.down) {
        wait(faults.slow);
        const std::lock_guard lock{m_mutex};
        response = route(request);
    }
    response.resetConnection = faults.down || (faults.loseReplies && isWrite(request));
    return response;
}

HttpResponse StandinPlatform::control(const HttpRequest &request)
{
    const std::lock_guard lock{m_mutex};
    if (request.path == "/vms") {
        json::error_code ec;
        const json::value list = json::parse(request.body, ec);
        if (ec || !list.is_array()) {
            Findings findings;
            findings.add("$", "must be an array of VMs");
            return badRequest("bad-vms", findings);
        }
        m_vms.set(json::serialize(list), m_clock.now());
        return reply(200, json::object{{"vms", list.get_array().size()}});
    }
    if (request.method == "POST") {
        const auto faults = parsePlatformFaults(request.body, m_faults);
        if (!faults) {
            return badRequest("bad-faults", faults.error());
        }
        m_faults = faults.value();
    }
    return reply(200, json::object{{"down", m_faults.down},
                                   {"slowMs", toMilliseconds(m_faults.slow)},
                                   {"loseReplies", m_faults.loseReplies},
                                   {"listLagMs", toMilliseconds(m_faults.listLag)}});
}

HttpResponse StandinPlatform::route(const HttpRequest &request)
{
    if (request.method == "POST" && request.path == "/table/transact") {
        return transact(request);
    }
    if (request.method == "GET"
        && (request.path == "/table" || request.path.starts_with(tablePrefix))) {
        return readTable(request);
    }
    if (request.path.starts_with(objectPrefix)) {
        return serveObject(request);
    }
    if (request.method == "GET" && request.path == "/vms") {
        HttpResponse response;
        response.body = "{\"vms\":" + m_vms.at(m_clock.now(), m_faults.listLag) + "}\n";
        return response;
    }
    return reply(404, json::object{{"error", "unknown-route"}});
}

HttpResponse StandinPlatform::readTable(const HttpRequest &request) const
{
    if (request.path != "/table") {
        const std::string key = adapters::percentDecode(request.path.substr(tablePrefix.size()));
        const TableRow *row = m_table.find(key);
        return row == nullptr ? reply(404, json::object{{"error", "no-row"}})
                              : reply(200, rowObject(key, *row));
    }
    constexpr std::string_view parameter = "prefix=";
    if (!request.query.starts_with(parameter)) {
        Findings findings;
        findings.add("query", "must be prefix=P");
        return badRequest("bad-query", findings);
    }
    json::array rows;
    for (const auto &[key, row] :
         m_table.withPrefix(adapters::percentDecode(request.query.substr(parameter.size())))) {
        rows.emplace_back(rowObject(key, row));
    }
    return reply(200, json::object{{"rows", std::move(rows)}});
}

HttpResponse StandinPlatform::transact(const HttpRequest &request)
{
    const auto transaction = parseTransaction(request.body);
    if (!transaction) {
        return badRequest("bad-transaction", transaction.error());
    }
    const TransactionResult result = m_table.transact(transaction.value());
    HttpResponse response;
    response.status = statusOf(result);
    response.body = formatResult(result);
    return response;
}

HttpResponse StandinPlatform::serveObject(const HttpRequest &request)
{
    const std::string name = adapters::percentDecode(request.path.substr(objectPrefix.size()));
    if (request.method == "PUT") {
        return m_objects.put(name, request.body)
                       ? reply(200, json::object{{"stored", name}})
                       : reply(507, json::object{{"error", "object-store-full"}});
    }
    const std::string *object = m_objects.find(name);
    if (request.method != "GET" || object == nullptr) {
        return reply(404, json::object{{"error", "no-object"}});
    }
    HttpResponse response;
    response.contentType = "application/octet-stream";
    response.body = *object;
    return response;
}

void StandinPlatform::wait(Duration span) const
{
    const auto end = std::chrono::steady_clock::now() + span;
    while (!m_stopping && std::chrono::steady_clock::now() < end) {
        boost::this_fiber::sleep_for(waitStep);
    }
}

} // namespace rattandock::standins
