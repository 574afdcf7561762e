//! Prints the page of log events or of metrics.

use std::process::ExitCode;

use sedgeridge_transport::event_catalogue::events_page;
use sedgeridge_transport::metric_catalogue::metrics_page;

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        Some("events") => print!("{}", events_page()),
        Some("metrics") => print!("{}", metrics_page()),
        _ => {
            eprintln!("catalogue: expected `events` or `metrics`");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
