//! Load, history recording and report: what drives a running fleet and judges what it did.

pub mod answer_reader;
pub mod callers;
pub mod client;
pub mod control_bytes;
pub mod deployment;
pub mod fairness;
pub mod faults;
pub mod history;
pub mod ini_text;
pub mod join;
pub mod ledgers;
pub mod plan;
pub mod process_plan;
pub mod processes;
pub mod random;
pub mod ready;
pub mod recorder;
pub mod report;
pub mod run;
pub mod saboteur;
pub mod topology;
pub mod utilisation;
pub mod work;
