//! Load, history recording and report: what drives a running fleet and judges what it did.

pub mod deployment;
pub mod ini_text;
pub mod options;
pub mod plan;
pub mod random;
pub mod topology;
