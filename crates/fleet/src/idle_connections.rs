//! Limits the connections that a host keeps open to an endpoint between requests.

/// Fraction of an endpoint's connections that idle connections of all hosts may take. The rest is for requests in progress.
/// While requests wait there, an endpoint accepts fewer connections than it states, and resets any beyond that.
const IDLE_RATIO: f64 = 0.5;
/// Maximum number of idle connections of one host to an endpoint, however many the endpoint accepts.
const MAX_IDLE: usize = 16;

/// Returns how many idle connections one of `hosts` hosts may keep to an endpoint that accepts `max_connections` from
/// all of them together; 0 means that the endpoint states no limit.
///
/// Beyond its limit the endpoint resets connections, even those on which a request has just been sent. It is then unknown
/// whether the request ran, and a request that may not be repeated fails.
///
/// ```
/// use sedgeridge_fleet::idle_connections::idle_connections;
///
/// assert_eq!(idle_connections(100, 5), 10);
/// assert_eq!(idle_connections(100, 400), 0);
/// ```
pub fn idle_connections(max_connections: u32, hosts: usize) -> usize {
    if max_connections == 0 {
        return MAX_IDLE;
    }
    let all_hosts = f64::from(max_connections) * IDLE_RATIO;
    let per_host = all_hosts / hosts.max(1) as f64;
    (per_host as usize).min(MAX_IDLE)
}
