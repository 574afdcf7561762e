//! Stand-ins of the platform's store, of engines and of clients, and the scripted cases of the review.
//!
//! Uses the standard library only, so that it builds without a network.

mod cases;
mod client;
mod engine;
mod fleet;
mod http;
mod json;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    match words.as_slice() {
        ["store", address] => store::serve(address),
        ["engine", settings @ ..] => engine::serve(settings),
        ["case", name, folder] => return cases::run(name, folder),
        _ => {
            eprintln!(
                "usage: review-standins store ADDRESS | engine NAME=VALUE... | case NAME FOLDER"
            );
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
