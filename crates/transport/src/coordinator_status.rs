//! Publishes a coordinator's state for its operator pages, and its gauges.

use std::time::Duration;

use metrics::gauge;
use sedgeridge_coordination::coordinator::Coordinator;
use sedgeridge_coordination::orders::OpenOrder;
use sedgeridge_protocol::coordinator::CoordinatorStatus;
use sedgeridge_protocol::coordinator::LeaseRow;
use sedgeridge_protocol::coordinator::OrderRow;
use sedgeridge_state::ids::Member;
use sedgeridge_state::lease_record::LeaseRecord;

use crate::status::SharedStatus;

/// Publishes a coordinator's current state.
pub(crate) fn publish(
    shared_status: &SharedStatus<CoordinatorStatus>,
    member: &Member,
    coordinator: &Coordinator,
    now: Duration,
    stopping: bool,
) {
    let status = CoordinatorStatus {
        host: member.host.to_string(),
        incarnation: member.incarnation.0,
        ready: !stopping && coordinator.lease_record().is_some(),
        stopping,
        holding: coordinator.held(now).is_some(),
        lease: coordinator.lease_record().map(lease_row),
        orders: coordinator.open_orders().map(order_row).collect(),
    };
    let fencing = status.lease.as_ref().map_or(0, |lease| lease.fencing);
    gauge!("sedgeridge_lease_held").set(if status.holding { 1.0 } else { 0.0 });
    gauge!("sedgeridge_lease_fencing_number").set(fencing as f64);
    gauge!("sedgeridge_orders_open").set(status.orders.len() as f64);
    shared_status.publish(status);
}

fn lease_row(record: &LeaseRecord) -> LeaseRow {
    LeaseRow {
        holder: record.holder.host.to_string(),
        incarnation: record.holder.incarnation.0,
        fencing: record.fencing.0,
        released: record.released,
    }
}

fn order_row(open: OpenOrder<'_>) -> OrderRow {
    let (kind, subject) = open.record.order.kind_and_subject();
    OrderRow {
        endpoint: open.record.endpoint.to_string(),
        number: open.record.number,
        kind: kind.to_owned(),
        subject: subject.to_owned(),
        stage: open.stage.to_owned(),
    }
}
