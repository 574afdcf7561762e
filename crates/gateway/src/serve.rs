//! Runs a router until it is told to stop.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use sedgeridge_fleet::stop_times::StopTimes;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::caller_listener::accept_forever;
use crate::clock::Clock;
use crate::connection;
use crate::crash_watch::check_endpoints_forever;
use crate::event_log::EventLog;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::gateway::Gateway;
use crate::pages::fold_samples_forever;
use crate::pages::serve_metrics;
use crate::pages::serve_ready;
use crate::peers::Peers;
use crate::quarantine_store;
use crate::settings::GatewaySettings;
use crate::store::Store;
use crate::store::Table;
use crate::table_follower::TableFollower;
use crate::wire::WireFormat;

/// Time between reads of the settings, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// Time between checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Everything that a router needs from its environment.
#[derive(Debug)]
pub struct Context<W, C, S, R> {
    /// Translates the platform's headers and documents.
    pub wire: W,
    /// The process's clock.
    pub clock: C,
    /// The platform's store.
    pub store: S,
    /// Source from which changed settings are read.
    pub settings_source: R,
    /// The process's log.
    pub log: EventLog,
    /// Renders the metrics page; `None` if the page is not served.
    pub metrics: Option<PrometheusHandle>,
    /// Notified when the process is told to stop.
    pub stop_signal: Rc<Notify>,
    /// Notified when the process is told that its settings changed.
    pub reload_signal: Rc<Notify>,
    /// Number of this run of the host; a later run has a higher one.
    pub run_number: u64,
}

/// Source of the router's settings.
pub trait SettingsSource: 'static {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// They cannot be read, or a value is unusable; the text says which.
    fn read(&self) -> Result<GatewaySettings, String>;
}

/// Serves callers until the process is told to stop, then finishes the requests in progress.
///
/// # Errors
///
/// An address cannot be bound.
pub async fn serve<W: WireFormat, C: Clock, S: Store, R: SettingsSource>(
    context: Context<W, C, S, R>,
    settings: GatewaySettings,
) -> io::Result<()> {
    let callers_listener = connection::listen(settings.callers_address).await?;
    let ready_listener = connection::listen(settings.ready_address).await?;
    let copies_listener = connection::listen(settings.peers_address).await?;
    let reports_socket = Rc::new(UdpSocket::bind(settings.peers_address).await?);
    let metrics_address = settings.metrics_address;
    let store = Rc::new(context.store);
    let gateway = Gateway::new(
        context.wire,
        context.clock,
        context.log,
        settings,
        context.run_number,
    );
    let gateway = Rc::new(gateway);
    let tables = Rc::new(TableFollower::new(gateway.clone()));
    let peers = Rc::new(Peers::new(gateway.clone(), tables.clone()));

    for table in Table::FOLLOWED {
        let (tables, store) = (tables.clone(), store.clone());
        spawn_local(async move { tables.follow(store, table).await });
    }
    let expiring = tables.clone();
    spawn_local(async move { expiring.expire_forever().await });
    let ticking = gateway.clone();
    spawn_local(async move { ticking.tick_forever().await });
    spawn_local(check_endpoints_forever(gateway.clone()));
    spawn_local(quarantine_store::keep_forever(
        gateway.clone(),
        store.clone(),
    ));
    let (registering, registry) = (peers.clone(), store.clone());
    spawn_local(async move { registering.stay_registered(registry).await });
    let (reporting, socket) = (peers.clone(), reports_socket.clone());
    spawn_local(async move { reporting.send_reports_forever(socket).await });
    let (telling, socket) = (peers.clone(), reports_socket.clone());
    spawn_local(async move { telling.send_origins_forever(socket).await });
    spawn_local(peers.clone().receive_reports_forever(reports_socket));
    spawn_local(peers.clone().serve_copies(copies_listener));
    spawn_local(serve_ready(gateway.clone(), ready_listener));
    spawn_local(accept_forever(gateway.clone(), callers_listener));
    if let Some(recorder) = context.metrics {
        let metrics_listener = connection::listen(metrics_address).await?;
        spawn_local(fold_samples_forever(recorder.clone()));
        spawn_local(serve_metrics(gateway.clone(), recorder, metrics_listener));
    }
    let fields = [
        (
            "callers",
            gateway.settings.callers_address.to_string().into(),
        ),
        ("peers", gateway.settings.peers_address.to_string().into()),
        ("data_centre", (*gateway.settings.data_centre).into()),
        ("run", context.run_number.into()),
    ];
    gateway.log(LogEvent::Started, &fields);

    loop {
        tokio::select! {
            () = context.stop_signal.notified() => break,
            () = context.reload_signal.notified() => {}
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
        }
        reload_settings(&gateway, &context.settings_source);
    }
    let fields = [("in_progress", gateway.requests_in_progress.get().into())];
    gateway.log(LogEvent::StopRequested, &fields);
    drain(&gateway, &peers, store).await;
    let fields = [("in_progress", gateway.requests_in_progress.get().into())];
    gateway.log(LogEvent::Stopped, &fields);
    gateway.log.close();
    Ok(())
}

/// Applies the reloadable settings. Addresses and names stay as they are until the process ends.
fn reload_settings<W: WireFormat, C: Clock, R: SettingsSource>(
    gateway: &Gateway<W, C>,
    source: &R,
) {
    let settings = match source.read() {
        Ok(settings) => settings,
        Err(reason) => {
            gateway.log(LogEvent::SettingsUnusable, &[("reason", reason.into())]);
            return;
        }
    };
    if !gateway.apply_reloaded_settings(&settings) {
        return;
    }
    let fields = [
        ("grace_ms", millis(settings.grace_period)),
        ("share_window_ms", millis(settings.share_window)),
        ("recovery_ms", millis(settings.recovery_time)),
        ("resend_ratio", settings.resend_limits.ratio.into()),
        ("resend_min_extra", settings.resend_limits.min_extra.into()),
    ];
    gateway.log(LogEvent::SettingsAdopted, &fields);
}

async fn drain<W: WireFormat, C: Clock, S: Store>(
    gateway: &Rc<Gateway<W, C>>,
    peers: &Peers<W, C>,
    store: Rc<S>,
) {
    let started_at = gateway.now();
    gateway.stop_requested_at.send_replace(Some(started_at));
    let entry = peers.entry();
    spawn_local(async move { store.unregister(&entry).await });
    let times = StopTimes::new(started_at, gateway.reloadable.borrow().grace_period);
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let now = gateway.now();
        if now >= times.answers_at {
            gateway.last_answers.notify_waiters();
        }
        // Memory is held until the last byte of a response is written.
        let is_delivered =
            gateway.requests_in_progress.get() == 0 && gateway.memory.held_bytes() == 0;
        let is_done = is_delivered && now >= times.accepts_until;
        if is_done || now >= times.ends_at {
            return;
        }
    }
}
