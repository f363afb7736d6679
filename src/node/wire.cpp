#include <node/wire.hpp>

namespace rhubarbwharf::node {

namespace internal {

namespace {

[[nodiscard]] auto format_endpoint(const net::endpoint& value) -> std::string {
    return value.m_port == 0U ? std::string{} : net::to_string(value);
}

[[nodiscard]] auto endpoint_or_empty(const std::string& value) -> net::endpoint {
    return net::parse_endpoint(value).value_or(net::endpoint{});
}

} // namespace

} // namespace internal

auto to_wire(const fleet::member& value, wire::fleet::Member& out) -> void {
    out.set_instance(value.m_instance);
    out.set_region(value.m_region);
    out.set_data_centre(value.m_data_centre);
    out.set_incarnation(value.m_incarnation);
    out.set_callers(internal::format_endpoint(value.m_caller_address));
    out.set_bus(internal::format_endpoint(value.m_bus_address));
    out.set_bulk(internal::format_endpoint(value.m_bulk_address));
    out.set_service(value.m_service);
}

auto from_wire(const wire::fleet::Member& value) -> fleet::member {
    fleet::member out{};
    out.m_instance = value.instance();
    out.m_region = value.region();
    out.m_data_centre = value.data_centre();
    out.m_incarnation = value.incarnation();
    out.m_caller_address = internal::endpoint_or_empty(value.callers());
    out.m_bus_address = internal::endpoint_or_empty(value.bus());
    out.m_bulk_address = internal::endpoint_or_empty(value.bulk());
    out.m_service = value.service();
    return out;
}

auto to_wire(const std::vector<fleet::held_model>& models,
             google::protobuf::RepeatedPtrField<wire::fleet::HeldModel>& out) -> void {
    for (const auto& each : models) {
        auto* const message = out.Add();
        message->set_name(each.m_name);
        message->set_version(each.m_version);
        message->set_layers_and_one(each.m_layers ? *each.m_layers + 1U : 0U);
    }
}

auto from_wire(const google::protobuf::RepeatedPtrField<wire::fleet::HeldModel>& models)
    -> std::vector<fleet::held_model> {
    std::vector<fleet::held_model> out{};
    for (const auto& each : models) {
        fleet::held_model model{each.name(), each.version(), std::nullopt};
        if (each.layers_and_one() != 0U) {
            model.m_layers = each.layers_and_one() - 1U;
        }
        out.push_back(std::move(model));
    }
    return out;
}

auto to_wire(const fleet::backend_server& value, wire::fleet::Server& out) -> void {
    out.set_id(value.m_id);
    out.set_started(value.m_started_ms);
    out.set_service(value.m_service);
    out.set_address(net::to_string(value.m_address));
    out.set_data_centre(value.m_data_centre);
    out.set_slots(value.m_slots);
    out.set_draining(value.m_draining);
    out.set_cold_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(value.m_warm_up_time).count()));
    to_wire(value.m_models, *out.mutable_models());
    out.set_revision(value.m_revision);
}

auto from_wire(const wire::fleet::LeavingServer& value) -> fleet::leaving_server {
    return {value.started(), internal::endpoint_or_empty(value.address())};
}

auto from_wire(const wire::fleet::Server& value) -> fleet::backend_server {
    fleet::backend_server out{};
    out.m_id = value.id();
    out.m_started_ms = value.started();
    out.m_service = value.service();
    out.m_address = internal::endpoint_or_empty(value.address());
    out.m_data_centre = value.data_centre();
    out.m_slots = value.slots();
    out.m_draining = value.draining();
    out.m_warm_up_time = std::chrono::milliseconds{value.cold_ms()};
    out.m_models = from_wire(value.models());
    out.m_revision = value.revision();
    return out;
}

} // namespace rhubarbwharf::node
