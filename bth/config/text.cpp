#include "bth/config/text.h"

#include "bth/config/json_reader.h"
#include "bth/config/text_checks.h"

#include <utility>

namespace bth::config {

namespace {

constexpr double most_rate = 1e9;
constexpr std::uint64_t most_in_flight = 10'000'000;
constexpr double most_megabits = 1e7;
constexpr std::uint64_t most_delay_us = 10'000'000;
constexpr std::uint64_t most_priority = 15;
constexpr std::uint64_t most_window_s = 86'400;
constexpr std::uint64_t most_timeout_ms = 600'000;
constexpr std::uint64_t most_message_bytes = 1'000'000'000;
constexpr std::uint64_t most_service_time_us = 600'000'000;
constexpr std::uint64_t most_slots = 100'000;
constexpr std::uint64_t most_unix_ms = 253'402'300'799'000;

// Reads one text; holds the model under construction and the findings so far.
class text_reader {
public:
    text_reader(const json_document& document, findings& found) : document{&document}, found{&found}
    {}

    model read();

private:
    json_object object(const Json::Value& value) const
    {
        return json_object{value, *this->document, *this->found};
    }

    // The row that the string at `key` names; reports a name that no row has.
    template <class Id>
    Id reference(json_object& at, std::string_view key,
                 std::optional<Id> (*find)(const model&, std::string_view), std::string_view kind)
    {
        const auto name = at.required_string(key);
        if (!name) {
            this->references_hold = false;
            return Id{};
        }
        return this->resolve(*name, at.place_of(key), find, kind);
    }

    template <class Id>
    Id resolve(const std::string& name, const source_place& place,
               std::optional<Id> (*find)(const model&, std::string_view), std::string_view kind)
    {
        const auto id = find(this->out, name);
        if (!id) {
            this->found->add(place, "no " + std::string{kind} + " is named \"" + name + "\"");
            this->references_hold = false;
        }
        return id.value_or(Id{});
    }

    // The name of a new row; reports one that is already taken.
    template <class Id>
    std::string new_name(json_object& at, std::optional<Id> (*find)(const model&, std::string_view))
    {
        auto name = at.required_string("name").value_or("");
        if (!name.empty() && find(this->out, name)) {
            at.report("name", "the name \"" + name + "\" is taken", "a name of its own");
        }
        return name;
    }

    capacity read_capacity(json_object& at);
    void read_region(const Json::Value& value);
    void read_domain(const Json::Value& value);
    void read_fallbacks(const Json::Value& value, std::size_t row);
    void read_link(const Json::Value& value);
    void read_host(const Json::Value& value);
    void read_class(const Json::Value& value);
    void read_service(const Json::Value& value);
    void read_priority(json_object& at, service& row);
    void read_shift_cap(json_object& at, service& row);
    void read_dependencies(const Json::Value& value, std::size_t row);
    void read_target(const Json::Value& value);
    void read_client_block(const Json::Value& value);
    void read_drain(const Json::Value& value);

    const json_document* document;
    findings* found;
    model out;
    // Whether each name that stands for another row was found.
    bool references_hold{true};
};

model text_reader::read()
{
    json_object root = this->object(this->document->root());
    root.each("regions", [this](const Json::Value& value) { this->read_region(value); });
    root.each("failure_domains", [this](const Json::Value& value) { this->read_domain(value); });
    std::size_t domain_row = 0;
    root.each("failure_domains", [&](const Json::Value& value) {
        this->read_fallbacks(value, domain_row);
        ++domain_row;
    });
    root.each("links", [this](const Json::Value& value) { this->read_link(value); });
    root.each("hosts", [this](const Json::Value& value) { this->read_host(value); });
    root.each("caller_classes", [this](const Json::Value& value) { this->read_class(value); });
    root.each("services", [this](const Json::Value& value) { this->read_service(value); });
    std::size_t service_row = 0;
    root.each("services", [&](const Json::Value& value) {
        this->read_dependencies(value, service_row);
        ++service_row;
    });
    root.each("targets", [this](const Json::Value& value) { this->read_target(value); });
    root.each("client_blocks",
              [this](const Json::Value& value) { this->read_client_block(value); });
    root.each("drains", [this](const Json::Value& value) { this->read_drain(value); });
    root.finish();
    check_values(this->out, *this->document, *this->found);
    if (this->references_hold) {
        check_relations(this->out, *this->document, *this->found);
    }
    return std::move(this->out);
}

capacity text_reader::read_capacity(json_object& at)
{
    capacity cap;
    const Json::Value* value = at.optional_value("cap");
    if (value == nullptr) {
        at.report("cap", "key \"cap\" is missing",
                  "{\"requests_per_second\": 100, \"in_flight\": 20}");
        return cap;
    }
    json_object inner = this->object(*value);
    cap.rate =
        request_rate{inner.required_number("requests_per_second", {0, most_rate}).value_or(0)};
    cap.in_flight = static_cast<std::uint32_t>(
        inner.required_integer("in_flight", 0, most_in_flight).value_or(0));
    inner.finish();
    return cap;
}

void text_reader::read_region(const Json::Value& value)
{
    json_object at = this->object(value);
    region row;
    row.name = this->new_name(at, find_region);
    row.cap = this->read_capacity(at);
    at.finish();
    this->out.regions.push_back(std::move(row));
}

void text_reader::read_domain(const Json::Value& value)
{
    json_object at = this->object(value);
    failure_domain row;
    row.name = this->new_name(at, find_domain);
    row.region = this->reference(at, "region", find_region, "region");
    row.cap = this->read_capacity(at);
    at.optional_value("fallbacks");
    at.finish();
    this->out.domains.push_back(std::move(row));
}

void text_reader::read_fallbacks(const Json::Value& value, std::size_t row)
{
    if (!value.isObject()) {
        return;
    }
    json_object at = this->object(value);
    failure_domain& domain = this->out.domains.at(row);
    for (const std::string& name : at.strings("fallbacks")) {
        const auto id =
            this->resolve(name, at.place_of("fallbacks"), find_domain, "failure domain");
        if (id.index() == row) {
            at.report("fallbacks", "a failure domain can't be its own fallback");
        }
        domain.fallbacks.push_back(id);
    }
}

void text_reader::read_link(const Json::Value& value)
{
    json_object at = this->object(value);
    link row;
    row.from = this->reference(at, "from", find_region, "region");
    row.to = this->reference(at, "to", find_region, "region");
    row.cap = megabits_per_second(
        at.required_number("megabits_per_second", {0, most_megabits}).value_or(0));
    row.delay = std::chrono::microseconds{at.integer_or("delay_us", 0, most_delay_us, 0)};
    at.finish();
    if (row.from == row.to) {
        at.report("to", "a link leads to another region");
    }
    else if (find_link(this->out, row.from, row.to)) {
        at.report("to", "this link stands twice");
    }
    this->out.links.push_back(row);
}

void text_reader::read_host(const Json::Value& value)
{
    json_object at = this->object(value);
    entry_host row;
    row.name = this->new_name(at, find_host);
    row.domain = this->reference(at, "failure_domain", find_domain, "failure domain");
    row.http = at.required_endpoint("http").value_or(endpoint{});
    row.peer = at.required_endpoint("peer").value_or(endpoint{});
    at.finish();
    this->out.hosts.push_back(std::move(row));
}

void text_reader::read_class(const Json::Value& value)
{
    constexpr std::size_t sha256_digits = 64;
    json_object at = this->object(value);
    caller_class row;
    row.name = this->new_name(at, find_class);
    row.key_sha256 = at.string_or("key_sha256", "");
    const bool hexadecimal =
        row.key_sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!row.key_sha256.empty() && (row.key_sha256.size() != sha256_digits || !hexadecimal)) {
        at.report("key_sha256", "wrong value of \"key_sha256\"",
                  "64 lower-case hexadecimal digits");
    }
    at.finish();
    this->out.classes.push_back(std::move(row));
}

void text_reader::read_service(const Json::Value& value)
{
    json_object at = this->object(value);
    service row;
    row.name = this->new_name(at, find_service);
    this->read_priority(at, row);
    this->read_shift_cap(at, row);
    row.retry_budget = share{at.number_or("retry_budget", {0, 1}, row.retry_budget.value())};
    row.default_timeout = std::chrono::milliseconds{
        at.integer_or("default_timeout_ms", 1, most_timeout_ms,
                      static_cast<std::uint64_t>(row.default_timeout.count()))};
    row.request_bytes = at.required_integer("request_bytes", 1, most_message_bytes).value_or(0);
    row.answer_bytes = at.required_integer("answer_bytes", 1, most_message_bytes).value_or(0);
    row.service_time = std::chrono::microseconds{
        at.required_integer("service_time_us", 1, most_service_time_us).value_or(1)};
    row.repeatable_methods = at.strings("repeatable_methods");
    at.optional_value("depends_on");
    at.finish();
    this->out.services.push_back(std::move(row));
}

void text_reader::read_priority(json_object& at, service& row)
{
    row.priority.assign(this->out.classes.size(),
                        priority_level{static_cast<std::uint8_t>(most_priority)});
    const Json::Value* value = at.optional_value("priority");
    if (value == nullptr) {
        at.report("priority", "key \"priority\" is missing", "{\"CLASS\": 0, ...}");
        return;
    }
    json_object inner = this->object(*value);
    for (std::size_t index = 0; index < this->out.classes.size(); ++index) {
        const auto level =
            inner.integer_or(this->out.classes.at(index).name, 0, most_priority, most_priority);
        row.priority.at(index) = priority_level{static_cast<std::uint8_t>(level)};
    }
    inner.finish();
}

void text_reader::read_shift_cap(json_object& at, service& row)
{
    const Json::Value* value = at.optional_value("shift_cap");
    if (value == nullptr) {
        return;
    }
    json_object inner = this->object(*value);
    row.shift.part = share{inner.required_number("share", {0, 1}).value_or(0)};
    row.shift.window =
        std::chrono::seconds{inner.required_integer("window_s", 1, most_window_s).value_or(1)};
    inner.finish();
}

void text_reader::read_dependencies(const Json::Value& value, std::size_t row)
{
    constexpr double most_fan_out = 1000;
    if (!value.isObject()) {
        return;
    }
    json_object at = this->object(value);
    at.each("depends_on", [&](const Json::Value& element) {
        json_object inner = this->object(element);
        dependency entry;
        entry.service = this->reference(inner, "service", find_service, "service");
        entry.fan_out = inner.number_or("fan_out", {0, most_fan_out}, 1.0);
        inner.finish();
        this->out.services.at(row).depends_on.push_back(entry);
    });
}

void text_reader::read_target(const Json::Value& value)
{
    json_object at = this->object(value);
    target row;
    row.name = this->new_name(at, find_target);
    row.service = this->reference(at, "service", find_service, "service");
    row.domain = this->reference(at, "failure_domain", find_domain, "failure domain");
    row.http = at.required_endpoint("http").value_or(endpoint{});
    row.slots = static_cast<std::uint32_t>(at.required_integer("slots", 1, most_slots).value_or(1));
    row.connections =
        static_cast<std::uint32_t>(at.required_integer("connections", 1, most_slots).value_or(1));
    at.finish();
    this->out.targets.push_back(std::move(row));
}

void text_reader::read_client_block(const Json::Value& value)
{
    json_object at = this->object(value);
    client_block row;
    const auto text = at.required_string("block");
    const auto block = text ? parse_ipv4_block(*text) : std::nullopt;
    if (text && !block) {
        at.report("block", "wrong value of \"block\"", "an IPv4 block such as 10.3.0.0/16");
    }
    row.block = block.value_or(ipv4_block{});
    row.domain = this->reference(at, "failure_domain", find_domain, "failure domain");
    at.finish();
    this->out.client_blocks.push_back(row);
}

void text_reader::read_drain(const Json::Value& value)
{
    json_object at = this->object(value);
    drain row;
    int subjects = 0;
    const auto read_subject = [&](std::string_view key, auto find, std::string_view kind) {
        if (at.has(key)) {
            row.subject = this->reference(at, key, find, kind);
            ++subjects;
        }
    };
    read_subject("target", find_target, "target");
    read_subject("host", find_host, "host");
    read_subject("failure_domain", find_domain, "failure domain");
    read_subject("region", find_region, "region");
    if (subjects != 1) {
        this->references_hold = false;
        this->found->add(at.place(), "a drain names one thing",
                         "one of: target, host, failure_domain, region");
    }
    row.from =
        wall_time{std::chrono::milliseconds{at.integer_or("from_unix_ms", 0, most_unix_ms, 0)}};
    at.finish();
    this->out.drains.push_back(row);
}

} // namespace

text_report check_text(std::string file, std::string text)
{
    text_report out;
    const auto document = json_document::parse(std::move(file), std::move(text), out.found);
    if (!document) {
        return out;
    }
    text_reader reader{*document, out.found};
    model read = reader.read();
    if (!out.found.has_errors()) {
        out.read = std::move(read);
    }
    return out;
}

tl::expected<model, findings> read_text(std::string file, std::string text)
{
    text_report report = check_text(std::move(file), std::move(text));
    if (!report.read) {
        return tl::unexpected{std::move(report.found)};
    }
    return std::move(*report.read);
}

} // namespace bth::config
