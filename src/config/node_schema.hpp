#pragma once

#include <config/schema.hpp>
#include <rhubarbwharf/config/node.hpp>

namespace rhubarbwharf::config::internal {

template <typename Visitor>
auto visit(Visitor& visitor, node_listen_settings& values) -> void {
    visitor.field("callers", values.m_callers, text("Callers' HTTP listener; gateways only.", form::listen_address));
    visitor.field("readiness", values.m_readiness,
                  text("HTTP listener for readiness checks; gateways only.", form::listen_address));
    visitor.field("directory", values.m_directory,
                  text("HTTP listener that tells callers where to connect; gateways only.", form::listen_address));
    visitor.field("bus", values.m_bus, text("Listener for the other processes.", form::listen_address, true));
    visitor.field("bulk", values.m_bulk,
                  text("Weight pieces over HTTP, for loaders and for gateways that relay them.", form::listen_address));
    visitor.field("metrics", values.m_metrics, text("HTTP listener for metrics and the dump.", form::listen_address));
    visitor.field("control", values.m_control,
                  text("HTTP listener for processes that know no others yet; gateways only.", form::listen_address));
}

template <typename Visitor>
auto visit(Visitor& visitor, store_settings& values) -> void {
    visitor.field("address", values.m_address, text("The platform's store.", form::address, true));
    visitor.field("call_ms", values.m_call_ms, range("Time for one call.", "ms", 10, 60'000));
    visitor.field("lease_ms", values.m_lease_ms,
                  range("Lease of this process's own entry; renewed three times in it.", "ms", 1'000, 600'000));
    visitor.field("watch_ms", values.m_watch_ms, range("Longest wait of one watch call.", "ms", 100, 30'000));
}

template <typename Visitor>
auto visit(Visitor& visitor, bound_settings& values) -> void {
    visitor.field("drain_ms", values.m_drain_ms,
                  range("Time after which a leaving backend server gets nothing new.", "ms", 100, 60'000));
    visitor.field("grace_ms", values.m_grace_ms, range("Time for a planned stop.", "ms", 1'000, 600'000));
    visitor.field("version_ms", values.m_version_ms,
                  range("Time in which a named version of weights is in force.", "ms", 1'000, 3'600'000));
    visitor.field("retry_ratio", values.m_retry_ratio, range("Repeats over requests to a service.", "", 0.0, 1.0));
    visitor.field("retry_window_ms", values.m_retry_window_ms,
                  range("Window in which repeats are counted.", "ms", 1'000, 600'000));
    visitor.field("retry_slack", values.m_retry_slack,
                  range("Repeats in each window beyond the ratio, over all gateways.", "", 0, count_max));
    visitor.field(
        "cold_over", values.m_cold_over,
        range("Multiple of a cold backend server's rate that reaches it in a second at most.", "", 1.0, 10.0));
    visitor.field("cold_slack", values.m_cold_slack,
                  range("Requests beyond that multiple, over all gateways.", "", 0.0, 1'000.0));
    visitor.field("directory_ttl_ms", values.m_directory_ttl_ms,
                  range("Time for which callers keep the addresses they were told.", "ms", 1'000, 60'000));
}

template <typename Visitor>
auto visit(Visitor& visitor, runner_settings& values) -> void {
    visitor.field("address", values.m_address, text("The model runner beside a loader.", form::address));
    visitor.field("service", values.m_service, text("Service that the runner belongs to.", form::name));
}

template <typename Visitor>
auto visit(Visitor& visitor, hedging_settings& values) -> void {
    visitor.field(
        "max_share", values.m_max_share,
        range("Second attempts for slow responses, over requests that may be repeated; none if 0.", "", 0.0, 0.2));
}

template <typename Visitor>
auto visit(Visitor& visitor, data_centre_settings& values) -> void {
    visitor.field("name", values.m_name, text("Name of a data centre.", form::name, true));
    visitor.field("region", values.m_region, text("The region it stands in.", form::name, true));
}

template <typename Visitor>
auto visit(Visitor& visitor, node_settings& values) -> void {
    visitor.field("role", values.m_role, text("What the daemon does: `gateway` or `loader`.", form::node_role, true));
    visitor.field("instance", values.m_instance, text("Name of this instance.", form::name, true));
    visitor.field("region", values.m_region, text("Its region.", form::name, true));
    visitor.field("data_centre", values.m_data_centre, text("Its data centre.", form::name, true));
    visitor.group("listen", values.m_listen, plain("Addresses this process listens on.", true));
    visitor.group("store", values.m_store, plain("The platform's store.", true));
    visitor.group("bounds", values.m_bounds, plain("Time limits that the deployment sets."));
    visitor.group("runner", values.m_runner, plain("The model runner beside a loader."));
    visitor.group("hedging", values.m_hedging, plain("Extra work for slow responses; gateways only."));
    visitor.list("data_centres", values.m_data_centres,
                 plain("All data centres; those that are missing are known by their instances only."));
    visitor.field("seeds", values.m_seeds, text("Control listeners of a few gateways; may be down.", form::address));
}

} // namespace rhubarbwharf::config::internal
