//! Runs a router until it is told to stop.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::spawn_local;

use crate::call::rotation_time;
use crate::caller_listener::accept_forever;
use crate::clock::Clock;
use crate::core::Core;
use crate::event_log::EventLog;
use crate::event_log::LogEvent;
use crate::meters;
use crate::pages::serve_metrics;
use crate::pages::serve_ready;
use crate::peers::Peers;
use crate::settings::GatewaySettings;
use crate::store::Store;
use crate::store::Table;
use crate::table_follower::Tables;
use crate::wire::Wire;

/// Part of the grace time after which the process ends whatever is in progress.
const GRACE_PART: f64 = 0.94;
/// Time between looks whether all requests have ended.
const STOP_INTERVAL: Duration = Duration::from_millis(50);

/// Serves callers until SIGTERM, then finishes what is in progress.
///
/// # Errors
///
/// An address cannot be bound, or signals cannot be watched.
pub async fn serve<W: Wire, C: Clock, S: Store>(
    wire: W,
    clock: C,
    store: S,
    settings: GatewaySettings,
    run: u64,
) -> io::Result<()> {
    let mut stop_signal = signal(SignalKind::terminate())?;
    let mut reload_signal = signal(SignalKind::hangup())?;
    let callers = TcpListener::bind(settings.callers_address).await?;
    let ready = TcpListener::bind(settings.ready_address).await?;
    let copies = TcpListener::bind(settings.peers_address).await?;
    let reports = Rc::new(UdpSocket::bind(settings.peers_address).await?);
    let store = Rc::new(store);
    let metrics = TcpListener::bind(settings.metrics_address).await?;
    let recorder = meters::install().map_err(io::Error::other)?;
    let log = EventLog::to_stdout(settings.host.clone()).map_err(io::Error::other)?;
    let core = Rc::new(Core::new(wire, clock, log, settings, run));
    let tables = Rc::new(Tables::new(core.clone()));
    let peers = Rc::new(Peers::new(core.clone(), tables.clone()));

    for table in [Table::Config, Table::Endpoints] {
        let (tables, store) = (tables.clone(), store.clone());
        spawn_local(async move { tables.follow(store, table).await });
    }
    let expiring = tables.clone();
    spawn_local(async move { expiring.expire_forever().await });
    let ticking = core.clone();
    spawn_local(async move { ticking.tick_forever().await });
    let (listing, listing_store) = (peers.clone(), store.clone());
    spawn_local(async move { listing.list_forever(listing_store).await });
    let (reporting, socket) = (peers.clone(), reports.clone());
    spawn_local(async move { reporting.report_forever(socket).await });
    spawn_local(peers.clone().hear_forever(reports));
    spawn_local(peers.clone().serve_copies(copies));
    spawn_local(serve_ready(core.clone(), ready));
    spawn_local(accept_forever(core.clone(), callers));

    spawn_local(serve_metrics(core.clone(), recorder, metrics));
    let fields = [
        ("callers", core.settings.callers_address.to_string().into()),
        ("peers", core.settings.peers_address.to_string().into()),
        ("data_centre", (*core.settings.data_centre).into()),
        ("run", run.into()),
    ];
    core.log(LogEvent::Started, &fields);

    loop {
        tokio::select! {
            _ = stop_signal.recv() => break,
            _ = reload_signal.recv() => core.log(LogEvent::ReloadRequested, &[]),
        }
    }
    let fields = [("in_progress", core.in_progress.get().into())];
    core.log(LogEvent::StopRequested, &fields);
    stop(&core, &peers, store).await;
    let fields = [("in_progress", core.in_progress.get().into())];
    core.log(LogEvent::Stopped, &fields);
    core.log.flush();
    Ok(())
}

async fn stop<W: Wire, C: Clock, S: Store>(
    core: &Rc<Core<W, C>>,
    peers: &Peers<W, C>,
    store: Rc<S>,
) {
    let started_at = core.now();
    core.stopping.send_replace(Some(started_at));
    let entry = peers.entry();
    spawn_local(async move { store.unregister(&entry).await });
    let ends_at = started_at + core.settings.grace.mul_f64(GRACE_PART);
    let rotated_at = started_at + rotation_time(core.settings.grace);
    loop {
        tokio::time::sleep(STOP_INTERVAL).await;
        let now = core.now();
        let is_done = core.in_progress.get() == 0 && now >= rotated_at;
        if is_done || now >= ends_at {
            return;
        }
    }
}
