//! Settings of a router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::cold_start::ColdStartBounds;
use sedgeridge_fleet::dispatcher::AdmissionSettings;
use sedgeridge_fleet::resend_window::ResendLimits;

/// Settings that a router reads at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Name of the host.
    pub host: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Address on which callers connect.
    pub callers_address: SocketAddr,
    /// Address on which the balancer asks whether the router is ready.
    pub ready_address: SocketAddr,
    /// Address of the metrics page.
    pub metrics_address: SocketAddr,
    /// Address on which other hosts send reports, over UDP, and requests for copies of tables, over
    /// TCP.
    pub peers_address: SocketAddr,
    /// Number of caller connections above which each response closes its connection.
    pub max_callers: usize,
    /// Memory that the process may use. It is killed if it uses more.
    pub memory_bytes: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Time window over which client accounts share the engines.
    pub share_window: Duration,
    /// Time in which a restarted fleet serves again.
    pub recovery_time: Duration,
    /// Limits on sending a request to a second endpoint.
    pub resend_limits: ResendLimits,
    /// Limits on requests to endpoints that have just started.
    pub cold_start_bounds: ColdStartBounds,
    /// Limits on queues and on the engines' backlogs.
    pub admission: AdmissionSettings,
}
