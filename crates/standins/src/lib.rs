//! Stand-ins for the systems around the fleet: engines, plain services and the platform.

pub mod answer;
