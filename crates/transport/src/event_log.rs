//! Numbered log events. docs/EVENTS.md is the catalogue.

use std::fmt;
use std::sync::Arc;

use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::prelude::*;
use spdlog::sink::Sink;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

sedgeridge_state::log_events! {
    /// The router has started and listens.
    RouterStarted = 1001, "router_started";
    /// The router was told to stop and finishes what runs.
    StopRequested = 1002, "stop_requested";
    /// The router has finished what ran and exits.
    RouterStopped = 1003, "router_stopped";
    /// The live members changed.
    MembersChanged = 1004, "members_changed";
    /// A newer run of this host is known to the fleet; this one stops.
    Outranked = 1005, "outranked";
    /// Another generation of the configuration is in force.
    ConfigAdopted = 1006, "config_adopted";
    /// A generation cannot be used at this site; the one before it stays in force.
    ConfigUnusable = 1007, "config_unusable";
    /// A listener failed to accept; the router goes on after a pause.
    AcceptFailed = 1101, "accept_failed";
    /// A message from another router was refused; it changed nothing.
    PeerMessageRefused = 1102, "peer_message_refused";
    /// A datagram could not be received; the next one may be.
    DatagramFailed = 1103, "datagram_failed";
    /// A request was refused or given up.
    RequestGivenUp = 1201, "request_given_up";
    /// An attempt failed and the request waits for another one.
    RequestRetried = 1202, "request_retried";
    /// The coordinator has started and tries to take the lease.
    CoordinatorStarted = 2001, "coordinator_started";
    /// The coordinator was told to stop; open orders are left to the next holder.
    CoordinatorStopRequested = 2002, "coordinator_stop_requested";
    /// The coordinator has given its lease back, or had none, and exits.
    CoordinatorStopped = 2003, "coordinator_stopped";
    /// This process took the lease and gives orders.
    LeaseTaken = 2101, "lease_taken";
    /// This process holds the lease no more and gives no orders.
    LeaseEnded = 2102, "lease_ended";
    /// An engine answered an order, or did not.
    OrderAnswered = 2201, "order_answered";
    /// An order ended; no holder takes it up again.
    OrderEnded = 2202, "order_ended";
    /// An order was not sent as the lease ends too soon; it stays open.
    OrderTooLate = 2203, "order_too_late";
    /// No router took a drain; the order waits for one that does.
    DrainNotAnnounced = 2204, "drain_not_announced";
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.code(), self.label())
    }
}

/// Directs the log to standard error, one line for each event: time, level, number, name, `key=value` fields.
pub fn start_log() {
    let formatter = PatternFormatter::new(pattern!(
        "{date}T{time}.{millisecond} {level} {payload}{eol}"
    ));
    let built = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(formatter)
        .build_arc();
    let Ok(sink) = built else {
        return;
    };
    let sink: Arc<dyn Sink> = sink;
    if let Ok(logger) = Logger::builder().sink(sink).build_arc() {
        logger.set_flush_level_filter(LevelFilter::All);
        spdlog::set_default_logger(logger);
    }
}

/// Logs an event that requires no attention.
pub fn log_info(event: LogEvent, fields: impl fmt::Display) {
    info!("{event} {fields}");
}

/// Logs an event that may require an operator's attention.
pub fn log_warn(event: LogEvent, fields: impl fmt::Display) {
    warn!("{event} {fields}");
}
