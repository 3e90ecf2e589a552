#include "bth/bench/report.h"

#include <iomanip>
#include <sstream>

#include <json/json.h>

namespace bth::bench {

namespace {

constexpr double samples_per_second = 10.0;

std::string fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

std::string percent(double part, int digits)
{
    return fixed(part * 100.0, digits);
}

double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

std::uint64_t count_of(const outcome& from, rule which)
{
    return from.breaches.at(static_cast<std::size_t>(which)).count;
}

std::uint64_t lost_of(const outcome& from)
{
    std::uint64_t sum = 0;
    for (const class_outcome& each : from.classes) {
        sum += each.lost;
    }
    return sum;
}

std::string refusals_of(const outcome& from)
{
    std::string text;
    for (const refusal_reason each : all_refusal_reasons()) {
        const std::uint64_t count = from.refusals.at(static_cast<std::size_t>(each));
        if (count > 0) {
            text += (text.empty() ? "" : ", ") + std::string{to_string(each)} + " " +
                    std::to_string(count);
        }
    }
    return text;
}

std::string rules_of(const outcome& from)
{
    std::string text;
    for (std::size_t index = 0; index < rule_count; ++index) {
        if (from.breaches.at(index).count > 0) {
            text += (text.empty() ? "" : ", ") + std::string{to_string(static_cast<rule>(index))};
        }
    }
    return text;
}

std::string classes_of(const outcome& from)
{
    std::string text;
    for (std::size_t index = 0; index < from.classes.size(); ++index) {
        text += (text.empty() ? "" : " / ") + percent(from.served_part(index), 2);
    }
    return text;
}

void add_row(std::ostringstream& text, const scenario_report& scenario, const report_row& row)
{
    const outcome& seen = row.measured;
    const auto latency = [&](double part) {
        return fixed(milliseconds(seen.latency.percentile(part)), 1);
    };
    text << "| " << row.scenario << " | " << row.decider << " | " << percent(seen.served_part(), 2)
         << " of " << percent(scenario.best, 2) << " | " << classes_of(seen) << " | "
         << latency(0.5) << " / " << latency(0.99) << " / " << latency(0.999) << " | "
         << percent(seen.peaks.region, 0) << " / " << percent(seen.peaks.domain, 0) << " / "
         << percent(seen.peaks.link, 0) << " | "
         << fixed(seen.peaks.over_cap_samples / samples_per_second, 1) << " | "
         << percent(seen.peaks.shift, 0) << " | "
         << fixed(milliseconds(seen.drain_time) / 1000.0, 2) << " | "
         << count_of(seen, rule::one_run) << " / " << count_of(seen, rule::truthful) << " | "
         << lost_of(seen) << " | " << seen.retries << " | " << refusals_of(seen) << " | "
         << rules_of(seen) << " |\n";
}

Json::Value json_of(const report_row& row)
{
    const outcome& seen = row.measured;
    Json::Value json;
    json["decider"] = row.decider;
    json["served"] = seen.served_part();
    for (std::size_t index = 0; index < seen.classes.size(); ++index) {
        json["served_by_class"].append(seen.served_part(index));
    }
    json["p50_ms"] = milliseconds(seen.latency.percentile(0.5));
    json["p99_ms"] = milliseconds(seen.latency.percentile(0.99));
    json["p999_ms"] = milliseconds(seen.latency.percentile(0.999));
    json["peak_region"] = seen.peaks.region;
    json["peak_domain"] = seen.peaks.domain;
    json["peak_link"] = seen.peaks.link;
    json["over_cap_s"] = seen.peaks.over_cap_samples / samples_per_second;
    json["shifted_of_cap"] = seen.peaks.shift;
    json["drain_s"] = milliseconds(seen.drain_time) / 1000.0;
    json["lost"] = static_cast<Json::UInt64>(lost_of(seen));
    json["retries"] = static_cast<Json::UInt64>(seen.retries);
    json["messages"] = static_cast<Json::UInt64>(seen.messages);
    json["refusals"] = Json::objectValue;
    for (const refusal_reason each : all_refusal_reasons()) {
        const std::uint64_t count = seen.refusals.at(static_cast<std::size_t>(each));
        if (count > 0) {
            json["refusals"][std::string{to_string(each)}] = static_cast<Json::UInt64>(count);
        }
    }
    json["broken_rules"] = Json::objectValue;
    for (std::size_t index = 0; index < rule_count; ++index) {
        const breach& broken = seen.breaches.at(index);
        if (broken.count > 0) {
            json["broken_rules"][std::string{to_string(static_cast<rule>(index))}] =
                static_cast<Json::UInt64>(broken.count);
        }
    }
    return json;
}

constexpr const char* table_head =
    "| scenario | decider | served %, of best | by class % | p50 / p99 / p99.9 ms | "
    "peak region / domain / link, % of cap | over cap s | shifted, % of cap | drain s | "
    "double runs / false \"not run\" | lost | retries | refusals | rules broken |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

} // namespace

std::string to_markdown(const std::vector<scenario_report>& all)
{
    std::ostringstream text;
    std::string site;
    for (const scenario_report& scenario : all) {
        if (scenario.site != site) {
            site = scenario.site;
            text << "\n### " << site << "\n\n" << table_head;
        }
        for (const report_row& row : scenario.rows) {
            add_row(text, scenario, row);
        }
    }
    text << "\n### Missed\n\n";
    std::size_t missed = 0;
    for (const scenario_report& scenario : all) {
        for (const missed_target& each : scenario.missed) {
            text << "- " << scenario.site << " " << scenario.scenario << ": " << each.target
                 << "; seen: " << each.seen << "\n";
            ++missed;
        }
    }
    text << (missed == 0 ? "Nothing.\n" : "");
    return text.str();
}

std::string to_json(const std::vector<scenario_report>& all)
{
    Json::Value json{Json::arrayValue};
    for (const scenario_report& scenario : all) {
        Json::Value row;
        row["site"] = scenario.site;
        row["scenario"] = scenario.scenario;
        row["best"] = scenario.best;
        for (const report_row& each : scenario.rows) {
            row["deciders"].append(json_of(each));
        }
        row["missed"] = Json::arrayValue;
        for (const missed_target& each : scenario.missed) {
            Json::Value missed;
            missed["target"] = each.target;
            missed["seen"] = each.seen;
            row["missed"].append(missed);
        }
        json.append(row);
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["precision"] = 6;
    return Json::writeString(builder, json) + "\n";
}

} // namespace bth::bench
