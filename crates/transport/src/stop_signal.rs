//! Calls a function when the process receives SIGTERM or SIGINT.

use std::io;
use std::thread;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Runs `on_stop` in a separate thread at the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signals cannot be caught or the thread cannot be started.
pub fn on_stop_signal(on_stop: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new()
        .name("stop-signal".into())
        .spawn(move || {
            if signals.forever().next().is_some() {
                on_stop();
            }
        })?;
    Ok(())
}
