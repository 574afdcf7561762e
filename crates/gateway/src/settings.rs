//! Settings of a router on a platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::cold_start::ColdStartBounds;
use sedgeridge_fleet::dispatcher::AdmissionSettings;
use sedgeridge_fleet::resend_window::ResendLimits;

/// Everything a router learns at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where the balancer asks whether the router is ready.
    pub ready_address: SocketAddr,
    /// Where operators see metrics.
    pub metrics_address: SocketAddr,
    /// Where other hosts' reports and questions arrive, over UDP and TCP.
    pub peers_address: SocketAddr,
    /// Connections of callers above which idle ones are given up.
    pub max_callers: usize,
    /// Memory that the process may have. With more it is killed.
    pub memory_bytes: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Window over which accounts share the engines.
    pub share_window: Duration,
    /// Time in which a fleet that was restarted serves again.
    pub recovery_time: Duration,
    /// ReloadableSettings of sending a request to a second endpoint.
    pub resend_limits: ResendLimits,
    /// ReloadableSettings of requests to endpoints that have just started.
    pub cold_start_bounds: ColdStartBounds,
    /// ReloadableSettings of queueing and of engines' backlogs.
    pub admission: AdmissionSettings,
}
