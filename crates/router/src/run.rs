//! Starts the router's threads and waits until its core and front end.

use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::sync_channel;
use std::thread;

use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::HostSettings;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::clock::ProcessClock;
use sedgeridge_transport::clock::incarnation_from_wall_clock;
use sedgeridge_transport::core::CORE_CHANNEL_LEN;
use sedgeridge_transport::core::Core;
use sedgeridge_transport::core::CoreInput;
use sedgeridge_transport::directory::SharedDirectory;
use sedgeridge_transport::event_log::LogEvent;
use sedgeridge_transport::event_log::log_info;
use sedgeridge_transport::front::Front;
use sedgeridge_transport::front::bind;
use sedgeridge_transport::held_bodies::HeldBodies;
use sedgeridge_transport::host_start::RunError;
use sedgeridge_transport::operator::serve_operator_pages;
use sedgeridge_transport::operator::start_metrics;
use sedgeridge_transport::peers::PeerSockets;
use sedgeridge_transport::peers::Peers;
use sedgeridge_transport::peers::peer_channel;
use sedgeridge_transport::status::SharedStatus;
use sedgeridge_transport::stop_signal::on_stop_signal;
use tokio::sync::watch;

/// Runs the router until it is told to stop.
pub fn serve(settings: Settings, host: &HostSettings) -> Result<(), RunError> {
    let clock = ProcessClock::start();
    let member = Member {
        host: host.id.clone(),
        incarnation: incarnation_from_wall_clock(),
    };
    let held_bodies = HeldBodies::new(&settings.front);
    let directory = SharedDirectory::new(settings);
    let status = SharedStatus::default();
    let (inputs, input_receiver) = sync_channel(CORE_CHANNEL_LEN);
    let (stop_front, front_stop_signal) = watch::channel(false);
    let drain_requests = Some(inputs.clone());
    serve_operator_pages(
        host.operator_address,
        start_metrics()?,
        status.clone(),
        drain_requests,
    )?;
    let front = Front {
        clock,
        member: member.clone(),
        directory: directory.clone(),
        core: inputs.clone(),
        next_request: AtomicU64::new(0),
        held_bodies,
    };
    let listener = bind(host.caller_address)?;
    let peers = Peers {
        member: member.clone(),
        core: inputs.clone(),
    };
    let sockets = PeerSockets::bind(host.peer_address)?;
    let (peer_sender, peer_outbox) = peer_channel();
    thread::Builder::new()
        .name("peers".into())
        .spawn(move || peers.run(sockets, peer_outbox))?;
    let front = thread::Builder::new()
        .name("front".into())
        .spawn(move || front.run(listener, front_stop_signal))?;
    let stop_input = inputs.clone();
    on_stop_signal(move || {
        let _ = stop_input.send(CoreInput::Stop);
    })?;
    log_info(
        LogEvent::RouterStarted,
        format_args!(
            "host={} incarnation={} callers={}",
            member.host, member.incarnation.0, host.caller_address
        ),
    );
    let core = Core::new(clock, member, directory, inputs, peer_sender, status)?;
    let core = thread::Builder::new()
        .name("core".into())
        .spawn(move || core.run(&input_receiver))?;
    core.join().map_err(|_| io::Error::other("core panicked"))?;
    let _ = stop_front.send(true);
    front
        .join()
        .map_err(|_| io::Error::other("front panicked"))??;
    log_info(LogEvent::RouterStopped, "");
    Ok(())
}
