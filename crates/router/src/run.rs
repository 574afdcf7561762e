//! Starts the router's threads and waits for their end.

use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::sync_channel;
use std::thread;

use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::HostSettings;
use sedgeridge_state::settings::Override;
use sedgeridge_state::settings::OverrideError;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::clock::ProcessClock;
use sedgeridge_transport::clock::incarnation_from_wall_clock;
use sedgeridge_transport::core::CORE_RING_LEN;
use sedgeridge_transport::core::Core;
use sedgeridge_transport::core::CoreInput;
use sedgeridge_transport::directory::SharedDirectory;
use sedgeridge_transport::event_log::LogEvent;
use sedgeridge_transport::event_log::log_info;
use sedgeridge_transport::event_log::start_log;
use sedgeridge_transport::front::Front;
use sedgeridge_transport::front::bind;
use sedgeridge_transport::operator::serve_operator_pages;
use sedgeridge_transport::operator::start_metrics;
use sedgeridge_transport::peers::PeerSockets;
use sedgeridge_transport::peers::Peers;
use sedgeridge_transport::peers::peer_ring;
use sedgeridge_transport::settings_files::ReadSettingsError;
use sedgeridge_transport::settings_files::read_settings;
use sedgeridge_transport::status::StatusBoard;
use sedgeridge_transport::stop_signal::on_stop_signal;
use thiserror::Error;
use tokio::sync::watch;

use crate::options::BAD_INPUT;
use crate::options::Options;

/// Exit code for a failure while running.
const FAILED: u8 = 1;

/// Why the router ended with a failure.
#[derive(Debug, Error)]
pub enum RunError {
    /// The settings cannot be used.
    #[error("settings refused, nothing started\n{0}")]
    Settings(#[from] ReadSettingsError),
    /// A `--set` cannot be read.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// The settings know no host of this name.
    #[error("--host {0}: the settings have no section [host.{0}]")]
    UnknownHost(String),
    /// Something the router needs from the system failed.
    #[error("{0}")]
    System(#[from] io::Error),
}

impl RunError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Override(_) | Self::UnknownHost(_) => BAD_INPUT,
            Self::System(_) => FAILED,
        }
    }
}

/// Runs the router until it is told to stop.
pub fn run(options: &Options) -> Result<(), RunError> {
    let settings = settings(options)?;
    let host = settings.host(&options.host).cloned();
    let host = host.ok_or_else(|| RunError::UnknownHost(options.host.clone()))?;
    start_log();
    serve(settings, &host)?;
    Ok(())
}

fn settings(options: &Options) -> Result<Settings, RunError> {
    let mut overrides = Vec::new();
    for text in &options.overrides {
        overrides.push(Override::parse(text)?);
    }
    let overlay = options.overlay.as_deref();
    Ok(read_settings(&options.config, overlay, &overrides)?)
}

fn serve(settings: Settings, host: &HostSettings) -> io::Result<()> {
    let clock = ProcessClock::start();
    let member = Member {
        host: host.id.clone(),
        incarnation: incarnation_from_wall_clock(),
    };
    let directory = SharedDirectory::new(settings);
    let status = StatusBoard::default();
    let (inputs, inbox) = sync_channel(CORE_RING_LEN);
    let (stop_front, front_stops) = watch::channel(false);
    serve_operator_pages(host.operator_address, start_metrics()?, status.clone())?;
    let front = Front {
        clock,
        member: member.clone(),
        directory: directory.clone(),
        core: inputs.clone(),
        next_request: AtomicU64::new(0),
    };
    let listener = bind(host.caller_address)?;
    let peers = Peers {
        member: member.clone(),
        core: inputs.clone(),
    };
    let sockets = PeerSockets::bind(host.peer_address)?;
    let (peer_sender, peer_outbox) = peer_ring();
    thread::Builder::new()
        .name("peers".into())
        .spawn(move || peers.run(sockets, peer_outbox))?;
    let front = thread::Builder::new()
        .name("front".into())
        .spawn(move || front.run(listener, front_stops))?;
    let on_stop = inputs.clone();
    on_stop_signal(move || {
        let _ = on_stop.send(CoreInput::Stop);
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
        .spawn(move || core.run(&inbox))?;
    core.join().map_err(|_| io::Error::other("core panicked"))?;
    let _ = stop_front.send(true);
    front
        .join()
        .map_err(|_| io::Error::other("front panicked"))??;
    log_info(LogEvent::RouterStopped, "");
    Ok(())
}
