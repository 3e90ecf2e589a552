#include "bth/standins/load_report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

#include <json/value.h>
#include <json/writer.h>

namespace bth::standins {

namespace {

constexpr std::array<const char*, call_outcome_count> outcome_names{
    "served", "refused_not_run", "refused_unknown", "target_error", "failed", "wrong_answer"};
constexpr std::array<double, 3> reported_parts{0.5, 0.99, 0.999};
constexpr std::array<const char*, 3> reported_names{"p50_ms", "p99_ms", "p99.9_ms"};

double milliseconds_of(duration value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

duration quantile(std::vector<duration> values, double part)
{
    if (values.empty()) {
        return duration{};
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(part * last);
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values.at(static_cast<std::size_t>(rank));
}

std::uint64_t total_of(const std::map<call_outcome, std::uint64_t>& outcomes)
{
    std::uint64_t sum = 0;
    for (const auto& [outcome, count] : outcomes) {
        sum += count;
    }
    return sum;
}

std::uint64_t count_of(const std::map<call_outcome, std::uint64_t>& outcomes, call_outcome outcome)
{
    const auto found = outcomes.find(outcome);
    return found == outcomes.end() ? 0 : found->second;
}

} // namespace

std::string to_string(call_outcome outcome)
{
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

void load_tally::add(const call_record& record)
{
    class_row& row = this->classes[record.caller_class];
    ++row.outcomes[record.outcome];
    if (record.outcome == call_outcome::served) {
        row.served_latencies.push_back(record.latency);
    }
    if (!record.reason.empty()) {
        ++this->reasons[record.reason];
    }
}

std::uint64_t load_tally::count(call_outcome outcome) const
{
    std::uint64_t sum = 0;
    for (const auto& [name, row] : this->classes) {
        sum += count_of(row.outcomes, outcome);
    }
    return sum;
}

duration load_tally::latency_at(double part) const
{
    std::vector<duration> all;
    for (const auto& [name, row] : this->classes) {
        all.insert(all.end(), row.served_latencies.begin(), row.served_latencies.end());
    }
    return quantile(std::move(all), part);
}

std::string load_tally::to_text() const
{
    constexpr int name_width = 12;
    constexpr int figure_width = 11;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << std::left << std::setw(name_width) << "class"
        << std::right;
    for (const char* head : {"sent", "served", "refused", "unknown", "failed", "wrong", "p50 ms",
                             "p99 ms", "p99.9 ms"}) {
        out << std::setw(figure_width) << head;
    }
    out << '\n';
    for (const auto& [name, row] : this->classes) {
        const auto& counts = row.outcomes;
        out << std::left << std::setw(name_width) << name << std::right;
        out << std::setw(figure_width) << total_of(counts);
        out << std::setw(figure_width) << count_of(counts, call_outcome::served);
        out << std::setw(figure_width) << count_of(counts, call_outcome::refused_not_run);
        out << std::setw(figure_width) << count_of(counts, call_outcome::refused_unknown);
        out << std::setw(figure_width)
            << count_of(counts, call_outcome::failed) +
                   count_of(counts, call_outcome::target_error);
        out << std::setw(figure_width) << count_of(counts, call_outcome::wrong_answer);
        for (const double part : reported_parts) {
            out << std::setw(figure_width) << milliseconds_of(quantile(row.served_latencies, part));
        }
        out << '\n';
    }
    for (const auto& [reason, count] : this->reasons) {
        out << "  " << reason << ": " << count << '\n';
    }
    return out.str();
}

std::string load_tally::to_json() const
{
    Json::Value report;
    for (const auto& [name, row] : this->classes) {
        Json::Value& at = report["classes"][name];
        at["sent"] = Json::UInt64{total_of(row.outcomes)};
        for (std::size_t index = 0; index < call_outcome_count; ++index) {
            at[outcome_names.at(index)] =
                Json::UInt64{count_of(row.outcomes, static_cast<call_outcome>(index))};
        }
        for (std::size_t index = 0; index < reported_parts.size(); ++index) {
            at[reported_names.at(index)] =
                milliseconds_of(quantile(row.served_latencies, reported_parts.at(index)));
        }
    }
    report["reasons"] = Json::Value{Json::objectValue};
    for (const auto& [reason, count] : this->reasons) {
        report["reasons"][reason] = Json::UInt64{count};
    }
    return Json::writeString(Json::StreamWriterBuilder{}, report);
}

} // namespace bth::standins
