//! The page docs/EVENTS.md, made from the log events themselves.

use std::fmt::Write;

use crate::event_log::LogEvent;

const INTRODUCTION: &str = "\
# Log events

Made from the code; `cargo run -p sedgeridge-transport --example catalogue -- events` prints it anew.

Every line of a log has a time, a level, the event's number and name, and `key=value` fields. The
number of an event never changes its meaning.

| number | event | meaning | what to do |
| --- | --- | --- | --- |
";

/// Returns the page.
///
/// ```
/// use sedgeridge_transport::event_catalogue::events_page;
///
/// assert!(events_page().contains("| E1001 | `router_started` |"));
/// ```
pub fn events_page() -> String {
    let mut page = INTRODUCTION.to_owned();
    for event in LogEvent::ALL {
        let (code, label, meaning) = (event.code(), event.label(), event.doc());
        let remedy = remedy(*event);
        writeln!(page, "| E{code} | `{label}` | {meaning} | {remedy} |")
            .expect("a string takes all text");
    }
    page
}

/// Tells an operator what to do about an event.
fn remedy(event: LogEvent) -> &'static str {
    match event {
        LogEvent::RouterStarted
        | LogEvent::StopRequested
        | LogEvent::RouterStopped
        | LogEvent::ConfigAdopted
        | LogEvent::CoordinatorStarted
        | LogEvent::CoordinatorStopRequested
        | LogEvent::CoordinatorStopped
        | LogEvent::LeaseTaken
        | LogEvent::OrderEnded => "Nothing.",
        LogEvent::MembersChanged => {
            "Nothing after a planned change. Otherwise look at the hosts that are missing, and at \
             the network between them and this one."
        }
        LogEvent::Outranked => {
            "Find out why two processes were started as one host; the newer one goes on."
        }
        LogEvent::ConfigUnusable => {
            "Correct what the findings name and apply again; `sedgeridge config check` shows the \
             same findings."
        }
        LogEvent::AcceptFailed => {
            "Raise the limit of open files if the error says so, or lower `front.max_connections`."
        }
        LogEvent::PeerMessageRefused => {
            "Look for a router of another release or a sender that is no router."
        }
        LogEvent::RequestGivenUp => {
            "Watch `sedgeridge_refusals_total` by reason; one refusal is the caller's matter."
        }
        LogEvent::RequestRetried => {
            "Look at the endpoint if one reason keeps coming; `sedgeridge_retries_total` counts \
             them."
        }
        LogEvent::LeaseEnded => {
            "Nothing if another host takes the lease; otherwise look at the table service."
        }
        LogEvent::OrderAnswered => {
            "Look at the engine if it does not answer; the order is settled by reading back."
        }
        LogEvent::OrderTooLate => {
            "Nothing; the next holder takes the order up. If it keeps coming, the table service is \
             slow."
        }
        LogEvent::DrainNotAnnounced => {
            "Look at the routers' operator addresses; the order goes on when one answers."
        }
    }
}
