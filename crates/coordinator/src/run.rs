//! Starts the coordinator's threads and waits until its core ends.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread;

use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_coordination::coordinator_events::CoordinatorSettings;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::HostSettings;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::clock::ProcessClock;
use sedgeridge_transport::clock::incarnation_from_wall_clock;
use sedgeridge_transport::coordinator_core::COORDINATOR_CHANNEL_LEN;
use sedgeridge_transport::coordinator_core::CoordinatorCore;
use sedgeridge_transport::directory::Directory;
use sedgeridge_transport::event_log::LogEvent;
use sedgeridge_transport::event_log::log_info;
use sedgeridge_transport::host_start::RunError;
use sedgeridge_transport::operator::serve_operator_pages;
use sedgeridge_transport::operator::start_metrics;
use sedgeridge_transport::status::SharedStatus;
use sedgeridge_transport::stop_signal::on_stop_signal;

/// Runs the coordinator until it is told to stop.
pub fn serve(settings: Settings, host: &HostSettings) -> Result<(), RunError> {
    let address = host
        .coordinator_address
        .ok_or_else(|| RunError::NotOnHost {
            host: host.id.to_string(),
            key: "coordinator_address",
        })?;
    let member = Member {
        host: host.id.clone(),
        incarnation: incarnation_from_wall_clock(),
    };
    let status = SharedStatus::default();
    let (inputs, input_receiver) = sync_channel(COORDINATOR_CHANNEL_LEN);
    serve_operator_pages(address, start_metrics()?, status.clone(), None)?;
    let core = CoordinatorCore::new(
        ProcessClock::start(),
        member.clone(),
        CoordinatorSettings::default(),
        Arc::new(Directory::new(settings)),
        &inputs,
        status,
    )?;
    on_stop_signal(move || {
        let _ = inputs.send(CoordinatorEvent::StopRequested);
    })?;
    log_info(
        LogEvent::CoordinatorStarted,
        format_args!(
            "host={} incarnation={} operators={address}",
            member.host, member.incarnation.0
        ),
    );
    let core = thread::Builder::new()
        .name("core".into())
        .spawn(move || core.run(&input_receiver))?;
    core.join().map_err(|_| io::Error::other("core panicked"))?;
    log_info(LogEvent::CoordinatorStopped, "");
    Ok(())
}
