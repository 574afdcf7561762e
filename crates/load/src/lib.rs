//! Load test of a running fleet: sends load, injects faults, records the history and reports
//! figures and violations.

pub mod answer_reader;
pub mod callers;
pub mod client;
pub mod config_watch;
pub mod control_bytes;
pub mod deployment;
pub mod fairness;
pub mod fault_figures;
pub mod fault_injector;
pub mod fault_log;
pub mod fault_name;
pub mod faults;
pub mod history;
pub mod ini_text;
pub mod join;
pub mod ledgers;
pub mod operators;
pub mod order_check;
pub mod plan;
pub mod process_plan;
pub mod processes;
pub mod random;
pub mod ready;
pub mod recorder;
pub mod report;
pub mod run;
pub mod topology;
pub mod utilisation;
pub mod work;
