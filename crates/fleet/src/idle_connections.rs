//! How many connections a host keeps open to an endpoint between requests.

/// Part of an endpoint's connections that idle ones of all hosts may take. An endpoint accepts fewer than it states
/// while requests wait there, and resets whatever is beyond; the rest is for requests in progress.
const IDLE_PART: f64 = 0.5;
/// Idle connections of one host to an endpoint, however many the endpoint accepts.
const MOST_IDLE: usize = 16;

/// Returns how many idle connections one of `hosts` hosts keeps to an endpoint that accepts `max_connections` from
/// all of them together; 0 stands for a number that isn't stated.
///
/// Beyond the bound the endpoint resets connections, also those on which a request has just been sent. Nothing
/// tells whether that request ran, so that one which may not be repeated fails.
///
/// ```
/// use sedgeridge_fleet::idle_connections::idle_connections;
///
/// assert_eq!(idle_connections(100, 5), 10);
/// assert_eq!(idle_connections(100, 400), 0);
/// ```
pub fn idle_connections(max_connections: u32, hosts: usize) -> usize {
    if max_connections == 0 {
        return MOST_IDLE;
    }
    let of_all = f64::from(max_connections) * IDLE_PART;
    let of_host = of_all / hosts.max(1) as f64;
    (of_host as usize).min(MOST_IDLE)
}
